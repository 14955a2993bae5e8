"""Leases on duties, each held by one process at a time and claimed by ballots at the register. No I/O."""
