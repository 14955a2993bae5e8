"""The control plane: the registers of the core, the operator's API, updates to the data plane, orders to servers."""
