"""The real sidecar's sockets: scheduler, HTTP parsers, the client's side and the core."""
