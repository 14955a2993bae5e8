"""The world in virtual time: pool servers, network, discovery, clients, sidecars, troubles, and their referee.

Nothing here reads a clock, a socket, a file or the global random source: time and randomness are arguments.
The daemon must never import this package; it needs the extra `lab`.
"""
