"""What a pool server bears: deciders without I/O that the module under `policy` asks; time is an argument."""
