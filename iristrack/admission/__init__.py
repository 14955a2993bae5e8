"""Admission control: budgets that limit what may be sent and retried. No I/O."""
