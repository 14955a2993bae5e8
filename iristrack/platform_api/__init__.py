"""Clients of the platform's and the servers' interfaces, shared by the control plane and the data plane."""
