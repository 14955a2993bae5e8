"""Typed messages between this project's own processes, and their Avro encoding."""
