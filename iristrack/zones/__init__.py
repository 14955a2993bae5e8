"""Outages of whole zones: deciders without I/O that the `policy` module calls; time is an argument."""
