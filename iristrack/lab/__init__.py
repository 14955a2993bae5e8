"""Experiments with the emulator: their tables, statistics and reports. Requires the extra `lab`."""
