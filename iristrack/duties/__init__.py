"""Duties that one process holds at a time: vacancy, claims by ballots at the register, leases. No I/O."""
