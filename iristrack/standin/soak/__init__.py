"""Soaks: a whole system on loopback under overlapping signals, restarts and changes, and what must hold meanwhile."""
