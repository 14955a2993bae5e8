"""The data plane: routes client requests to model servers, by the configuration from the control plane."""
