"""Choice of the server for a request: ranking by hash, load in requests in flight, lists of ready servers. No I/O."""
