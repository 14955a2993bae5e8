"""How updates reach every sidecar: topics with sequence numbers, handed on from process to process. No I/O."""
