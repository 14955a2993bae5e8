"""Index of the prompt parts that model servers and stores keep. No I/O; time is an argument.

`parts` parses a request's prompt parts, `kv_events` parses the answers by which a holder reports what it keeps, `index`
stores this and answers lookups for routing, `table` bounds the index, `catalog` is the copy that core members relay,
`pending_prefills` tracks shared parts that are being prefilled for the first time, and `digest` passes one watcher's
knowledge of a holder to other sidecars.

The index is advisory. A holder itself checks what it keeps, so a stale, late or wrong entry costs at most a cache miss
there.
"""
