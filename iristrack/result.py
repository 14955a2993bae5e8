"""Result type of functions that validate input: a value, or an error.

The names are those of the library `expression`, of which this module has what the project uses. The library itself
costs each process 0.1 s of processor time at its start and 8 MB (`docs/performance.md`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Never, TypeAlias, TypeVar

Value = TypeVar("Value")
Failure = TypeVar("Failure")


@dataclass(frozen=True, slots=True)
class Ok(Generic[Value]):
    """A successful result."""

    ok: Value

    def is_ok(self) -> bool:
        """Return True."""
        return True

    def is_error(self) -> bool:
        """Return False."""
        return False

    @property
    def error(self) -> Never:
        """Raise `ValueError`, as there is no error."""
        raise ValueError("result is a value, not an error")


@dataclass(frozen=True, slots=True)
class Error(Generic[Failure]):
    """A failed result."""

    error: Failure

    def is_ok(self) -> bool:
        """Return False."""
        return False

    def is_error(self) -> bool:
        """Return True."""
        return True

    @property
    def ok(self) -> Never:
        """Raise `ValueError`, as there is no value."""
        raise ValueError(f"result is no value, but the error {self.error!r}")


Result: TypeAlias = Ok[Value] | Error[Failure]
