"""Simulations of the deciders in virtual time: seeded faults, and referees that judge what clients were told."""
