"""Routes: which services the requests for a host and path go to, and with which limits."""

from radishmount.routes._limits import DEFAULT_CALLER_LIMITS, CallerLimits
from radishmount.routes._route import Route, WeightedService
from radishmount.routes._split import choose_service
from radishmount.routes._table import EMPTY_ROUTES, RouteTable


__all__ = [
    "DEFAULT_CALLER_LIMITS",
    "EMPTY_ROUTES",
    "CallerLimits",
    "Route",
    "RouteTable",
    "WeightedService",
    "choose_service",
]
