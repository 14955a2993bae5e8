"""Model servers' reports, and how new weights are brought to them. No I/O."""
