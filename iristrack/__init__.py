"""iristrack: the decisions of a client-side load balancer that runs beside each calling process."""

from iristrack.balance import Balancer

__all__ = ["Balancer"]
