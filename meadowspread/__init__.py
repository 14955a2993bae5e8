"""meadowspread: the decisions of a client-side load balancer that runs beside each calling process."""

from meadowspread.balance import Balancer

__all__ = ["Balancer"]
