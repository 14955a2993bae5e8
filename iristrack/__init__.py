"""iristrack: the decisions of a client-side load balancer that runs beside each calling process."""

from iristrack.balance import Balancer

__version__ = "0.2.0"
__all__ = ["Balancer", "__version__"]
