"""Which server gets a request: ranking by hash, own requests in flight, ready lists. No I/O."""
