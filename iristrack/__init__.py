"""iristrack: the decisions of a client-side load balancer that runs beside each calling process, and a router fleet.

`Balancer` is loaded at its first use: the system's two programs start without it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from iristrack.balance import Balancer

__version__ = "0.2.0"
__all__ = ["Balancer", "__version__"]


def __getattr__(name: str) -> object:
    """The library's entry points, by name; raises `AttributeError`."""
    if name == "Balancer":
        from iristrack.balance import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
