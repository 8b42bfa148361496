"""An entry with stand-ins for endpoints and platform, in one process over loopback connections."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

import aiohttp

from radishmount.audit import AuditTrail
from radishmount.border import EntrySettings, Server, SocketAddress, write_bundle
from radishmount.clock import loop_clock
from radishmount.programs.entry import RunningEntry, start_entry
from radishmount.standins import EndpointStandIn, ListedInstance, PlatformStandIn, serve_stand_in


ANY_FREE_PORT = SocketAddress("127.0.0.1", 0)
PEER_KEY = "a key for tests only"


@dataclass
class EntryHarness:
    """A running entry with its platform and endpoints, and an HTTP client for the test."""

    entry: RunningEntry
    platform: PlatformStandIn
    endpoints_by_name: dict[str, EndpointStandIn]
    servers: list[Server]
    http: aiohttp.ClientSession

    async def search(self, **fields: Any) -> tuple[int, dict[str, Any]]:
        """Send one search as a caller and return the status and the content of the answer."""
        body = {"caller": "workshop", "collection": "catalogue", "text": "washi", **fields}
        async with self.http.post(self.url("/v1/search"), json=body) as response:
            return response.status, await response.json()

    def url(self, path: str) -> str:
        """Return the URL of `path` on the listener for callers."""
        return f"http://{self.entry.callers.address}{path}"

    async def stop(self) -> None:
        """Stop the client, the entry and the stand-ins."""
        await self.http.close()
        await self.entry.stop()
        for server in self.servers:
            await server.stop()


def order_objects(addresses: list[str]) -> list[dict[str, Any]]:
    """Return a service for orders at `addresses`, and the rule for its callers."""
    endpoints = [
        {"name": f"order-booking-{n}", "data_centre": "milano", "address": address}
        for n, address in enumerate(addresses)
    ]
    return [
        {
            "kind": "service",
            "name": "order-booking",
            "slots": 6,
            "connections": 110,
            "endpoints": endpoints,
        },
        {
            "kind": "rule",
            "name": "book",
            "target": "order-booking",
            "prefer": "coverage",
            "deadline": "2s",
            "quota": "1000/s",
            "idempotent": False,
        },
    ]


def objects_for(
    addresses: dict[str, list[str]], order_addresses: list[str] | None = None
) -> list[dict[str, Any]]:
    """Return published objects: a collection with one shard for each service of `addresses`."""
    bounds = ["", *[f"{letter}" for letter in "hp"][: len(addresses) - 1], None]
    objects: list[dict[str, Any]] = [
        {"kind": "data-centre", "name": "milano", "region": "padana"},
        {"kind": "caller", "name": "workshop", "data_centre": "milano", "rules": ["search"]},
        {
            "kind": "rule",
            "name": "search",
            "target": "catalogue",
            "prefer": "coverage",
            "deadline": "1s",
            "quota": "1000/s",
        },
    ]
    parts = []
    for index, (service, service_addresses) in enumerate(addresses.items()):
        keys = {"from": bounds[index], "to": bounds[index + 1]}
        parts.append({"name": f"part-{index}", "keys": keys})
        endpoints = [
            {"name": f"{service}-{n}", "data_centre": "milano", "address": address}
            for n, address in enumerate(service_addresses)
        ]
        objects.append(
            {
                "kind": "service",
                "name": service,
                "slots": 2,
                "connections": 25,
                "endpoints": endpoints,
            }
        )
        objects.append(
            {
                "kind": "shard",
                "name": f"shard-{index}",
                "collection": "catalogue",
                "service": service,
                "keys": keys,
            }
        )
    objects.append({"kind": "collection", "name": "catalogue", "parts": parts})
    if order_addresses:
        objects.extend(order_objects(order_addresses))
        for item in objects:
            if item["kind"] == "caller":
                item["rules"] = [*item["rules"], "book"]
    return objects


async def start_entry_harness(
    services: int = 2, replicas: int = 2, *, orders: bool = False
) -> EntryHarness:
    """Start endpoints, platform and one entry, and wait until a search succeeds."""
    servers: list[Server] = []
    endpoints_by_name = {}
    addresses: dict[str, list[str]] = {}
    for index in range(services):
        service = f"catalogue-{index}"
        for n in range(replicas):
            stand_in = EndpointStandIn(f"{service}-{n}", 2, {1}, Random(index * 10 + n))
            server = await serve_stand_in(stand_in.app())
            endpoints_by_name[stand_in.name] = stand_in
            servers.append(server)
            addresses.setdefault(service, []).append(str(server.address))
    order_addresses = []
    for n in range(2 if orders else 0):
        stand_in = EndpointStandIn(f"order-booking-{n}", 6, set(), Random(100 + n))
        server = await serve_stand_in(stand_in.app())
        endpoints_by_name[stand_in.name] = stand_in
        servers.append(server)
        order_addresses.append(str(server.address))
    platform = PlatformStandIn()
    platform_server = await serve_stand_in(platform.app())
    servers.append(platform_server)
    await platform.publish(1, write_bundle(1, objects_for(addresses, order_addresses)))
    clock = loop_clock(asyncio.get_running_loop())
    settings = EntrySettings(
        "entry-a",
        "milano",
        ANY_FREE_PORT,
        ANY_FREE_PORT,
        ANY_FREE_PORT,
        str(platform_server.address),
        PEER_KEY,
    )
    entry = (await start_entry(settings, clock, Random(1), AuditTrail(clock))).unwrap()
    address = str(entry.callers.address)
    await platform.list_instances(ListedInstance("entry-a", "entry", "milano", "live", address))
    running = EntryHarness(entry, platform, endpoints_by_name, servers, aiohttp.ClientSession())
    while (await running.search())[0] != 200:
        await asyncio.sleep(0.01)
    return running
