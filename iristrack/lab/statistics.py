"""Compute bootstrap confidence intervals of means and of paired differences.

Percentile bootstrap after Efron and Tibshirani (1993), chapter 13. Pairs are resampled together, so that conditions
common to both balancers cancel out.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

RESAMPLE_COUNT = 2000
CONFIDENCE_LEVEL = 0.95


class Interval(NamedTuple):
    """A mean and the ends of its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def half_width(self) -> float:
        """Half the length of the interval."""
        return (self.high - self.low) / 2


def interval(values: list[float], seed: int = 0) -> Interval:
    """Return the interval of the mean of independent values; with one value it is the mean itself, with none NaN."""
    data = np.asarray(values, dtype=float)
    if len(data) == 0:
        return Interval(float("nan"), float("nan"), float("nan"))
    mean = float(data.mean())
    if len(data) < 2 or float(np.ptp(data)) == 0.0:
        return Interval(mean, mean, mean)
    generator = np.random.default_rng(seed)
    means = data[generator.integers(0, len(data), (RESAMPLE_COUNT, len(data)))].mean(axis=1)
    low, high = np.percentile(means, [50 * (1 - CONFIDENCE_LEVEL), 50 * (1 + CONFIDENCE_LEVEL)])
    return Interval(mean, float(low), float(high))


def paired(ours: list[float], theirs: list[float], seed: int = 0) -> Interval:
    """Return the interval of the mean difference of pairs; both lists must be in the same order."""
    if len(ours) != len(theirs):
        raise ValueError(f"{len(ours)} values against {len(theirs)}: pairs are needed")
    return interval([a - b for a, b in zip(ours, theirs, strict=True)], seed)
