"""HTTP/1.1 parsers and writers, as functions of bytes."""
