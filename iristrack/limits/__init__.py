"""Limits per pool server: deciders without I/O that the `policy` module calls; time is an argument."""
