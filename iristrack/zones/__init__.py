"""Whole zones that fall silent: deciders without I/O that the module under `policy` asks; time is an argument."""
