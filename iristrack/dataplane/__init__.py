"""The data plane: clients' requests in, servers' answers out, by what the control plane hands on."""
