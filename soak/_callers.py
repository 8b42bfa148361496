"""Callers: they ask where to connect, keep connections open, and note what they were answered."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import aiohttp

from radishmount.standins import Relay
from soak._fleet import Fleet
from soak._records import Asked, Records, RequestKind


__all__ = ["HOST", "Caller", "run_callers"]

HOST = "soak.example"
PAUSE_S = (0.02, 0.08)
TIME_LEFT_S = 3.0
CONNECT_S = 1.0
ADDRESSES_KEPT_S = 1.0
PATH_BY_KIND = {
    RequestKind.GATHER: "/gather/x",
    RequestKind.SINGLE: "/single/x",
    RequestKind.ORDER: "/order/x",
}
KINDS = (
    RequestKind.GATHER,
    RequestKind.GATHER,
    RequestKind.SINGLE,
    RequestKind.ORDER,
    RequestKind.ORDER,
    RequestKind.MARK,
)
RETRY_AFTER_S = 0.2


@dataclass(slots=True)
class Caller:
    """One caller. It keeps a connection until an answer names its instance no more."""

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
        """Ask on and on until the run ends."""
        while True:
            await self._look_up()
            instance = self._instance()
            if instance is None:
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            asked = await self._ask(instance)
            if asked.status != 200:
                self.chosen = None
            await asyncio.sleep(self.random.uniform(*PAUSE_S))

    def _instance(self) -> str | None:
        if self.chosen not in self.addresses:
            self.chosen = self.random.choice(self.addresses) if self.addresses else None
        return self.chosen

    async def _look_up(self) -> None:
        """Ask an instance which addresses to use; an old answer serves where none comes."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self.asked_addresses_at_s < ADDRESSES_KEPT_S:
            return
        instance = self.random.choice(list(self.fleet.by_name.values()))
        link = instance.directory_link
        assert link is not None
        url = f"http://{link.address}/-/resolve?name={HOST}&region=r1&zone=z1"
        try:
            async with self.session.get(url, timeout=aiohttp.ClientTimeout(CONNECT_S)) as response:
                if response.status != 200:
                    return
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return  # another one is asked next time
        self.addresses = self._names_of(answer["addrs"])
        self.asked_addresses_at_s = now_s

    def _names_of(self, addresses: list[str]) -> list[str]:
        ips = {address.partition(":")[0] for address in addresses}
        return [name for name, instance in self.fleet.by_name.items() if instance.ip in ips]

    async def _ask(self, instance: str) -> Asked:
        loop = asyncio.get_running_loop()
        kind = self.random.choice(KINDS)
        self.number += 1
        asked = Asked(f"{self.name}-{self.number}", kind, instance, loop.time())
        if kind is RequestKind.MARK:
            asked.mark = self.random.choice(self.records.published[-2:]).version
        self.records.asked.append(asked)
        link = self.fleet.by_name[instance].caller_link
        assert link is not None
        with suppress(aiohttp.ClientError, TimeoutError, OSError):  # the status then stays none
            await self._exchange(asked, link)
        asked.ended_at_s = loop.time()
        return asked

    async def _exchange(self, asked: Asked, link: Relay) -> None:
        is_order = asked.kind is RequestKind.ORDER
        path = PATH_BY_KIND.get(asked.kind, f"/mark-{asked.mark}/x")
        async with self.session.request(
            "POST" if is_order else "GET",
            f"http://{link.address}{path}",
            headers={
                "Host": HOST,
                "Radishmount-Request-Id": asked.request_id,
                "Radishmount-Time-Left-Ms": str(int(TIME_LEFT_S * 1000)),
            },
            data=b"one bale" if is_order else None,
            timeout=aiohttp.ClientTimeout(TIME_LEFT_S, sock_connect=CONNECT_S),
        ) as response:
            body = await response.read()
            headers = response.headers
            asked.status, asked.body = response.status, body
            parts = headers.get("Radishmount-Part-Stamps", "")
            single = headers.get("Radishmount-Server-Stamp", "")
            asked.signatures = tuple(s.strip() for s in (parts or single).split(",") if s.strip())
            asked.missing = int(headers.get("Radishmount-Missing-Parts", "0"))


async def run_callers(count: int, fleet: Fleet, records: Records, random: Random) -> None:
    """Run `count` callers until the task is cancelled."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for number in range(count):
            caller = Caller(f"c{number}", fleet, records, Random(random.random()), session)
            group.create_task(caller.run())
