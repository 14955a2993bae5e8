"""Typed messages between this project's processes, their Avro encoding and their connections."""
