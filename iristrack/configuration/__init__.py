"""The operator's configuration: read, checked, typed, and looked up by request."""
