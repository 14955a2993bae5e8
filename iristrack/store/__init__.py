"""Persistent files: the acceptor's records, and checkpoints and journals of learned state. Needs the extra `state`."""
