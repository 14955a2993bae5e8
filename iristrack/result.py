"""The result of reading something that may be wrong: a value, or what is wrong with it.

It has the names of the library `expression`, which costs each process 0.1 s of processor time at its start and 8 MB
(`docs/performance.md`), and holds just what this project uses of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Never, TypeAlias, TypeVar

Value = TypeVar("Value")
Fault = TypeVar("Fault")


@dataclass(frozen=True, slots=True)
class Ok(Generic[Value]):
    """It could be read."""

    ok: Value

    def is_ok(self) -> bool:
        """Return True."""
        return True

    def is_error(self) -> bool:
        """Return False."""
        return False

    @property
    def error(self) -> Never:
        """Raise `ValueError`: nothing is wrong."""
        raise ValueError("a value, and no error")


@dataclass(frozen=True, slots=True)
class Error(Generic[Fault]):
    """It could not be read, for this."""

    error: Fault

    def is_ok(self) -> bool:
        """Return False."""
        return False

    def is_error(self) -> bool:
        """Return True."""
        return True

    @property
    def ok(self) -> Never:
        """Raise `ValueError`: there is no value."""
        raise ValueError(f"no value, but the error {self.error!r}")


Result: TypeAlias = Ok[Value] | Error[Fault]
