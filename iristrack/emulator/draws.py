"""Random draws from named streams of one seed, taken in blocks so that each costs little.

This file owns the emulator's randomness. A stream's numbers depend on the seed and its name alone, never on what
other streams were asked for: two balancers on one seed meet the same arrivals, work and troubles (common random
numbers).
"""

from __future__ import annotations

import zlib

import numpy as np

BLOCK = 4096


class Source:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        """`seed` is any whole number from 0."""
        self.seed = seed

    def generator(self, name: str) -> np.random.Generator:
        """A generator of its own for `name` (NumPy's PCG64, seeded by `SeedSequence`)."""
        return np.random.Generator(
            np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=(zlib.crc32(name.encode()),)))
        )

    def whole(self, name: str) -> int:
        """One whole number of 63 bits for `name`: the seed of something that draws by itself."""
        return int(self.generator(name).integers(0, 1 << 63))


class Stream:
    """Single draws from blocks of a generator."""

    __slots__ = ("_exponential", "_generator", "_normal", "_uniform")

    def __init__(self, generator: np.random.Generator) -> None:
        """Blocks are drawn as they are used up, each kind from the one generator."""
        self._generator = generator
        self._uniform: list[float] = []
        self._normal: list[float] = []
        self._exponential: list[float] = []

    def uniform(self) -> float:
        """Between 0 and 1."""
        block = self._uniform
        if not block:
            block.extend(self._generator.random(BLOCK).tolist())
        return block.pop()

    def normal(self) -> float:
        """Mean 0, deviation 1."""
        block = self._normal
        if not block:
            block.extend(self._generator.standard_normal(BLOCK).tolist())
        return block.pop()

    def exponential(self) -> float:
        """Mean 1."""
        block = self._exponential
        if not block:
            block.extend(self._generator.standard_exponential(BLOCK).tolist())
        return block.pop()
