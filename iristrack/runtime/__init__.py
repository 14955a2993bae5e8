"""The event loop, timers and sockets that every program of this project runs on; it knows no request."""
