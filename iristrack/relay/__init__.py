"""Distribution of updates to all sidecars: topics with sequence numbers, relayed between processes. No I/O."""
