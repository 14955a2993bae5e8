"""HTTP/1.1: parsing and writing messages, a client connection, a small client and a small server."""
