"""Recovery of learned state after a restart: decisions without I/O; time is an argument."""
