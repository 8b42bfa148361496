"""The operator of a run, who publishes versions of the configuration."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from radishmount.standins import StoreStandIn
from soak._callers import HOST
from soak._checks import TOP_RECORDS
from soak._records import PublishedVersion, Records


__all__ = ["ORDER_SERVICE", "Operator", "shard_services_of"]

ORDER_SERVICE = "orders"
SHARDS_PER_SET = 3


def shard_services_of(shard_set: int) -> tuple[str, ...]:
    """Return the services of one set of shards. Odd sets have one shard more than even ones."""
    return tuple(f"set{shard_set}shard{n}" for n in range(SHARDS_PER_SET + shard_set % 2))


@dataclass(slots=True)
class Operator:
    """Publishes versions of the configuration.

    Each version has a route `mark-VERSION` that no other version has. `shard_set` is the number of
    the set of shards that the next version names.
    """

    store: StoreStandIn
    records: Records
    version: int = 0
    shard_set: int = 0
    content: dict[str, Any] = field(default_factory=dict)

    async def publish(self) -> None:
        """Publish the next version. It is recorded as published just before the store has it."""
        self.version += 1
        shards = shard_services_of(self.shard_set)
        services = sorted({*shards, ORDER_SERVICE})
        self.content = {
            "version": self.version,
            "routes": [
                _route("gather", shardServices=list(shards), topK=TOP_RECORDS, minPartShare=0.5),
                _route("single", service=ORDER_SERVICE),
                _route("order", service=ORDER_SERVICE, routeType="unsafe"),
                _route(f"mark-{self.version}", service=ORDER_SERVICE),
            ],
            "services": [{"name": name, "maxConns": 40} for name in services],
            "limits": {},
        }
        published = PublishedVersion(self.version, shards, asyncio.get_running_loop().time())
        self.records.published.append(published)
        await self.publish_again()

    async def publish_again(self) -> None:
        """Write the last version, which the store may have lost."""
        await self.store.put("op/config", self.content)


def _route(name: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "routeType": "safe",
        "timeoutMs": 2_500,
        "targetLatencyMs": 1_000,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }
