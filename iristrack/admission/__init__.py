"""What may be sent, repeated or refused: budgets and room. No I/O."""
