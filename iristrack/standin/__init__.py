"""Stand-ins for what surrounds the system: model servers, the platform, the operator, clients, whole machines."""
