"""Model servers: their reports, upgrades to new weights, and roll-outs of new software. No I/O."""
