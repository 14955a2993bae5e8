"""The operator's configuration: reading, checking, the typed model, and look-up per request."""
