"""A test harness over loopback: a store, back ends, and one instance on the users' platform."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import aiohttp

from radishmount.audit import AuditTrail
from radishmount.border import SocketAddress
from radishmount.clock import loop_clock
from radishmount.forwarding import RetryBudgetSettings
from radishmount.platform import DeploymentSettings, RunningInstance, start_instance
from radishmount.standins import BackEndStandIn, StoreStandIn, serve_stand_in


FREE_ADDRESS = SocketAddress("127.0.0.1", 0)
HOST = "shop.example"
GRACE_MS = 500.0


def backend_entry(back_end: BackEndStandIn, service: str, **fields: Any) -> dict[str, Any]:
    """Return the entry that a back end of `service` writes to the store about itself."""
    return {
        "service": service,
        "address": back_end.address,
        "zone": "z1",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldLeftMs": 0,
        "born": 1_785_000_000_000,
        "seq": 1,
        **fields,
    }


def make_configuration(version: int, routes: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return a configuration with `routes` and all services that they refer to."""
    names = {name for route in routes for name in route.get("shardServices", [])}
    names |= {route["service"] for route in routes if "service" in route}
    names |= {part["service"] for route in routes for part in route.get("split", [])}
    services = [{"name": name, "healthPath": "/health", "maxConns": 40} for name in sorted(names)]
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def single_route(**fields: Any) -> dict[str, Any]:
    """Return a route to the service `orders`; `fields` override its defaults."""
    return {
        "name": "r-single",
        "host": HOST,
        "prefix": "/orders/",
        "routeType": "safe",
        "timeoutMs": 2_000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 2,
        "service": "orders",
        **fields,
    }


def fan_out_route(shards: list[str], **fields: Any) -> dict[str, Any]:
    """Return a route that sends each request to all of `shards`."""
    route = single_route(name="r-gather", prefix="/stock/", **fields)
    del route["service"]
    return {**route, "shardServices": shards, "topK": 3, "minPartShare": 0.5}


@dataclass
class PlatformHarness:
    """A running instance with the store and the back ends that it uses."""

    store: StoreStandIn
    store_server: Any
    instance: RunningInstance
    http: aiohttp.ClientSession
    back_ends: list[BackEndStandIn] = field(default_factory=list)
    moved_servers: list[Any] = field(default_factory=list)

    async def add_back_end(self, service: str, name: str, **fields: Any) -> BackEndStandIn:
        """Start a back end and write its entry to the store."""
        back_end = await BackEndStandIn(name, **fields).start()
        self.back_ends.append(back_end)
        await self.store.put(f"servers/{name}", backend_entry(back_end, service))
        return back_end

    async def publish(self, version: int, *routes: dict[str, Any], **limits: Any) -> None:
        """Write a configuration and wait until the instance has read the whole store."""
        await self.store.put("op/config", make_configuration(version, list(routes), **limits))
        await self.wait_until(lambda: self.instance.gateway.publication.version == version)
        follower = self.instance.gateway.follower
        await self.wait_until(lambda: follower.last_change_position.revision == self.store.revision)

    async def move_store(self) -> StoreStandIn:
        """Serve a copy of the store at a new address, which the settings name from now on."""
        moved = StoreStandIn(era=self.store.era, era_headers=self.store.era_headers)
        copy = self.store.copy()
        moved.revision, moved.values_by_key = copy.revision, dict(copy.values_by_key)
        moved.history = list(copy.history)
        server = await serve_stand_in(moved.app())
        self.moved_servers.append(server)
        self.use_store(str(server.address))
        return moved

    async def leave(self, grace_ms: float) -> None:
        """Stop the instance gracefully, after a reload with this grace period."""
        settings = replace(self.instance.settings, stop_grace_ms=grace_ms)
        self.instance.apply_settings(settings)
        await self.instance.leave()

    def use_store(self, address: str) -> None:
        """Reload settings that name another address of the store."""
        self.instance.apply_settings(settings_for(address))

    async def wait_until(self, condition: Any) -> None:
        """Poll `condition` until it is true, bounded by the timeout of the test run."""
        while not condition():
            await asyncio.sleep(0.01)

    async def send_request(
        self, path: str, method: str = "GET", request_id: str = "q1", **fields: Any
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request as a client and return status, headers and body."""
        headers = {
            "Host": HOST,
            "Radishmount-Request-Id": request_id,
            "Radishmount-Time-Left-Ms": "2000",
            **fields.pop("headers", {}),
        }
        async with self.http.request(
            method, self.url(0, path), headers=headers, **fields
        ) as response:
            return response.status, dict(response.headers), await response.read()

    async def get(self, server: int, path: str) -> tuple[int, bytes]:
        """Send a GET request to the readiness (1) or the directory (2) server."""
        async with self.http.get(self.url(server, path)) as response:
            return response.status, await response.read()

    def url(self, server: int, path: str) -> str:
        """Return the URL of `path` at the server with the index `server`."""
        return f"http://{self.instance.servers[server].address}{path}"

    async def stop(self) -> None:
        """Stop the instance, the back ends and the store."""
        await self.http.close()
        for server in self.instance.servers:
            server.abort()
        await self.instance.peers.stop()
        await self.instance.gateway.stop()
        for back_end in self.back_ends:
            await back_end.stop()
        for server in (self.store_server, *self.moved_servers):
            await server.stop()


def settings_for(store_address: str) -> DeploymentSettings:
    """Return settings with free loopback ports for an instance that uses a store."""
    return DeploymentSettings(
        name="front-1",
        data_centre="z1",
        capacity=1.0,
        caller_listen_address=FREE_ADDRESS,
        readiness_listen_address=FREE_ADDRESS,
        peer_listen_address=FREE_ADDRESS,
        directory_listen_address=FREE_ADDRESS,
        store_address=store_address,
        seeds=(),
        stop_grace_ms=GRACE_MS,
        addresses_valid_for_ms=5_000.0,
        max_propagation_ms=3_000.0,
        retry_budget_settings=RetryBudgetSettings(0.2, 100.0),
        memory_bytes=200_000_000,
    )


async def start_platform_harness(
    boot_ms: Callable[[], float] = lambda: 0.0,
) -> PlatformHarness:
    """Start an instance that has no configuration yet; `boot_ms` is its time since boot."""
    store = StoreStandIn()
    store_server = await serve_stand_in(store.app())
    settings = settings_for(str(store_server.address))
    clock = replace(loop_clock(asyncio.get_running_loop()), boot_ms=boot_ms)
    started = await start_instance(settings, clock, Random(1), AuditTrail(clock))
    return PlatformHarness(store, store_server, started.unwrap(), aiohttp.ClientSession())
