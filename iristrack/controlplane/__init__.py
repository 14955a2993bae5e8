"""The control plane: the core's registers, the operators' API, updates to the data plane and orders to servers."""
