"""Remote control of stand-ins in another process: start the faults and read the records."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from radishmount.border import SocketAddress
from radishmount.standins._faults import INSTANCE_FAULTS, run_fault
from radishmount.standins._simulated_region import SimulatedRegion
from radishmount.trial import EndpointRecord


__all__ = ["StandInControlServer", "StandInControlClient", "StandInRecords"]

READ_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class StandInRecords:
    """What the stand-ins have recorded since the load began."""

    records: Sequence[EndpointRecord]
    connections_over_cap: int
    platform_reads: int


@dataclass(slots=True)
class StandInControlServer:
    """Lets the process that drives the load control the stand-ins of a region over HTTP."""

    simulated_region: SimulatedRegion
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    platform_reads_at_begin: int = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/begin", self._begin)
        app.router.add_get("/v1/records", self._records)
        return app

    async def _begin(self, request: web.Request) -> web.Response:
        """Clear what was recorded before, and schedule the faults.

        Faults of instances are left to the process that drives the load.
        """
        for endpoint in self.simulated_region.endpoints_by_name.values():
            endpoint.records.clear()
        self.platform_reads_at_begin = self.simulated_region.platform_reads
        for fault in self.simulated_region.plan.faults:
            if fault.kind in INSTANCE_FAULTS:
                continue

            async def run_when_due(fault: Any = fault) -> None:
                await asyncio.sleep(fault.at_ms / 1000.0)
                await run_fault(self.simulated_region, fault)

            self.tasks.append(asyncio.create_task(run_when_due()))
        return web.Response(body=b"{}", content_type="application/json")

    async def _records(self, request: web.Request) -> web.Response:
        content = {
            "records": [_record_fields(record) for record in self.simulated_region.records],
            "connections_over_cap": self.simulated_region.connections_over_cap,
            "platform_reads": self.simulated_region.platform_reads - self.platform_reads_at_begin,
        }
        return web.Response(body=orjson.dumps(content), content_type="application/json")


class StandInControlClient:
    """The client of `StandInControlServer`.

    Its methods raise `aiohttp.ClientError` and `TimeoutError`.
    """

    def __init__(self, address: SocketAddress) -> None:
        self._url = f"http://{address}"

    async def begin(self) -> None:
        """Start the schedule of faults; the load begins now."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.post(f"{self._url}/v1/begin") as response,
        ):
            response.raise_for_status()

    async def records(self) -> StandInRecords:
        """Return what the stand-ins recorded."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.get(f"{self._url}/v1/records") as response,
        ):
            content = orjson.loads(await response.read())
        return StandInRecords(
            records=[EndpointRecord(**fields) for fields in content["records"]],
            connections_over_cap=content["connections_over_cap"],
            platform_reads=content["platform_reads"],
        )


def _record_fields(record: EndpointRecord) -> dict[str, Any]:
    return {
        "endpoint": record.endpoint,
        "at_ms": record.at_ms,
        "request_id": record.request_id,
        "attempt": record.attempt,
        "shard": record.shard,
        "index_version": record.index_version,
        "text": record.text,
        "outcome": record.outcome,
        "ran": record.ran,
        "leaving_since_ms": record.leaving_since_ms,
        "order_key": record.order_key,
    }
