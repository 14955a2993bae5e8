"""The event loop, timers, sockets, signals and logs that every program of this project runs on.

Nothing here depends on HTTP or on requests.
"""
