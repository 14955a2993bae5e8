"""The real sidecar's sockets: scheduler, HTTP parsers, the terminal's side and the core."""
