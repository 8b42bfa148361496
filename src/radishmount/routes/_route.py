"""One route of the published configuration."""

from dataclasses import dataclass


__all__ = ["Route", "WeightedService"]


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests in proportion to `weight`."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are routed, and with which limits.

    Each request goes either to one of `services` or to all of `shards`, whose answers are merged.
    An idempotent request may run more than once, any other at most once. Times are in
    milliseconds: `timeout_ms` bounds the whole request, and an answer within `target_latency_ms`
    is on time. `max_attempts` bounds the number of endpoints that may run a request, for each
    shard. `top_records` and `min_share` apply to routes with shards only: the number of records in
    the merged answer, and the share of shards that must answer for there to be one.

        Route("r-1", "shop.example", "/stock/", shards=("stock-1", "stock-2"), top_records=5)
    """

    name: str
    host: str
    prefix: str
    idempotent: bool = True
    timeout_ms: float = 1_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 0
    max_attempts: int = 2
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    min_share: float = 1.0
