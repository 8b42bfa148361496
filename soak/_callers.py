"""Callers: they look up instances, keep connections open and record each request's outcome."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import aiohttp

from radishmount.standins import Relay
from soak._fleet import Fleet
from soak._records import Records, RequestKind, RequestRecord


__all__ = ["HOST", "Caller", "run_callers"]

HOST = "soak.example"
PAUSE_RANGE_S = (0.02, 0.08)
REQUEST_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
ADDRESSES_TTL_S = 1.0
PATH_BY_KIND = {
    RequestKind.GATHER: "/gather/x",
    RequestKind.SINGLE: "/single/x",
    RequestKind.ORDER: "/order/x",
}
# Kinds are drawn from this at random; a kind that is listed twice is drawn twice as often.
WEIGHTED_KINDS = (
    RequestKind.GATHER,
    RequestKind.GATHER,
    RequestKind.SINGLE,
    RequestKind.ORDER,
    RequestKind.ORDER,
    RequestKind.MARK,
)
NO_INSTANCE_PAUSE_S = 0.2


@dataclass(slots=True)
class Caller:
    """One caller. It keeps using its `chosen` instance until that fails or is no longer listed.

    `addresses` holds the names of the instances that the last lookup returned.
    """

    name: str
    fleet: Fleet
    records: Records
    random: Random
    session: aiohttp.ClientSession
    number: int = 0
    addresses: list[str] = field(default_factory=list)
    asked_addresses_at_s: float = float("-inf")
    chosen: str | None = None

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        while True:
            await self._refresh_addresses()
            instance = self._choose_instance()
            if instance is None:
                await asyncio.sleep(NO_INSTANCE_PAUSE_S)
                continue
            request = await self._send_request(instance)
            if request.status != 200:
                self.chosen = None
            await asyncio.sleep(self.random.uniform(*PAUSE_RANGE_S))

    def _choose_instance(self) -> str | None:
        if self.chosen not in self.addresses:
            self.chosen = self.random.choice(self.addresses) if self.addresses else None
        return self.chosen

    async def _refresh_addresses(self) -> None:
        """Ask a random instance which addresses to use; keep the old ones if it does not answer."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self.asked_addresses_at_s < ADDRESSES_TTL_S:
            return
        instance = self.random.choice(list(self.fleet.by_name.values()))
        link = instance.directory_link
        assert link is not None
        url = f"http://{link.address}/-/resolve?name={HOST}&region=r1&zone=z1"
        try:
            async with self.session.get(
                url, timeout=aiohttp.ClientTimeout(CONNECT_TIMEOUT_S)
            ) as response:
                if response.status != 200:
                    return
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return  # the next call asks another instance
        self.addresses = self._instances_at(answer["addrs"])
        self.asked_addresses_at_s = now_s

    def _instances_at(self, addresses: list[str]) -> list[str]:
        ips = {address.partition(":")[0] for address in addresses}
        return [name for name, instance in self.fleet.by_name.items() if instance.ip in ips]

    async def _send_request(self, instance: str) -> RequestRecord:
        loop = asyncio.get_running_loop()
        kind = self.random.choice(WEIGHTED_KINDS)
        self.number += 1
        request = RequestRecord(f"{self.name}-{self.number}", kind, instance, loop.time())
        if kind is RequestKind.MARK:
            request.marked_version = self.random.choice(self.records.published[-2:]).version
        self.records.requests.append(request)
        link = self.fleet.by_name[instance].caller_link
        assert link is not None
        with suppress(aiohttp.ClientError, TimeoutError, OSError):  # status stays None
            await self._exchange(request, link)
        request.ended_at_s = loop.time()
        return request

    async def _exchange(self, request: RequestRecord, link: Relay) -> None:
        is_order = request.kind is RequestKind.ORDER
        path = PATH_BY_KIND.get(request.kind, f"/mark-{request.marked_version}/x")
        async with self.session.request(
            "POST" if is_order else "GET",
            f"http://{link.address}{path}",
            headers={
                "Host": HOST,
                "Radishmount-Request-Id": request.request_id,
                "Radishmount-Time-Left-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
            },
            data=b"one bale" if is_order else None,
            timeout=aiohttp.ClientTimeout(REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S),
        ) as response:
            body = await response.read()
            headers = response.headers
            request.status, request.body = response.status, body
            parts = headers.get("Radishmount-Part-Stamps", "")
            single = headers.get("Radishmount-Server-Stamp", "")
            request.stamps = tuple(s.strip() for s in (parts or single).split(",") if s.strip())
            request.missing_parts = int(headers.get("Radishmount-Missing-Parts", "0"))


async def run_callers(count: int, fleet: Fleet, records: Records, random: Random) -> None:
    """Run `count` callers until this task is cancelled."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for number in range(count):
            caller = Caller(f"c{number}", fleet, records, Random(random.random()), session)
            group.create_task(caller.run())
