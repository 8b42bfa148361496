"""Tests of whole entries over loopback: versions, seeds, leaving, and callers' addresses."""

import asyncio
from random import Random
from typing import Any

from radishmount.audit import AuditTrail
from radishmount.border import EntrySettings, SocketAddress, parse_address, write_bundle
from radishmount.clock import loop_clock
from radishmount.programs.entry import RunningEntry, start_entry
from radishmount.standins import ListedInstance
from support import ANY_FREE_PORT, PEER_KEY, EntryHarness, objects_for


async def add_entry(
    harness: EntryHarness,
    name: str,
    platform: SocketAddress | None = None,
    seeds: tuple[str, ...] = (),
) -> RunningEntry:
    """Start one more entry in addition to that of the harness."""
    clock = loop_clock(asyncio.get_running_loop())
    address = str(platform or harness.servers[-1].address)
    settings = EntrySettings(
        name, "torino", ANY_FREE_PORT, ANY_FREE_PORT, ANY_FREE_PORT, address, PEER_KEY, seeds
    )
    return (await start_entry(settings, clock, Random(2), AuditTrail(clock))).unwrap()


async def list_entries(harness: EntryHarness, *entries: RunningEntry) -> None:
    lines = [
        ListedInstance(
            entry.node.dependencies.name,
            "entry",
            entry.node.dependencies.data_centre,
            "live",
            str(entry.callers.address),
            str(entry.peers.address),
        )
        for entry in entries
    ]
    await harness.platform.list_instances(*lines)


async def wait_until(condition) -> None:  # type: ignore[no-untyped-def]
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.02)


class RefreshingCaller:
    """A caller that refreshes its addresses now and then and searches at the first."""

    def __init__(self, harness: EntryHarness, known: str) -> None:
        self.harness = harness
        self.addresses = [known]
        self.failures: list[str] = []
        self.answered_count = 0

    async def refresh(self) -> None:
        for address in list(self.addresses):
            url = f"http://{address}/v1/addresses?caller=workshop&data_centre=milano"
            async with self.harness.http.get(url) as response:
                content: dict[str, Any] = await response.json()
            self.addresses = [line["address"] for line in content["addresses"]]
            return

    async def run(self, done: asyncio.Event) -> None:
        while not done.is_set():
            await self.refresh()
            for _ in range(3):
                await self.search()
                await asyncio.sleep(0.02)

    async def search(self) -> None:
        body = {"caller": "workshop", "collection": "catalogue", "text": "washi"}
        url = f"http://{self.addresses[0]}/v1/search"
        try:
            async with self.harness.http.post(url, json=body) as response:
                content = await response.json()
        except OSError as error:
            self.failures.append(repr(error))
            return
        if response.status != 200 or not content["complete"]:
            self.failures.append(str(content))
            return
        self.answered_count += 1


class TestEntries:
    """Entries find each other and keep serving callers during a graceful stop."""

    async def test_callers_that_refresh_addresses_lose_nothing_in_a_graceful_stop(
        self, harness: EntryHarness
    ) -> None:
        other = await add_entry(harness, "entry-b")
        await list_entries(harness, harness.entry, other)
        await wait_until(other.node.is_ready)
        await wait_until(lambda: "entry-b" in harness.entry.node.peers.sessions_by_name)
        caller = RefreshingCaller(harness, str(harness.entry.callers.address))
        done = asyncio.Event()
        calling = asyncio.create_task(caller.run(done))
        await wait_until(lambda: caller.answered_count > 5)
        await harness.entry.leave(grace_ms=600.0, refusal_ms=100.0)
        answered = caller.answered_count
        await wait_until(lambda: caller.answered_count > answered + 5)
        done.set()
        await calling
        await other.stop()

        assert caller.failures == []
        assert caller.addresses == [str(other.callers.address)]

    async def test_a_request_after_the_grace_period_is_refused_as_not_run(
        self, harness: EntryHarness
    ) -> None:
        leaving = asyncio.create_task(harness.entry.leave(grace_ms=0.0, refusal_ms=500.0))
        await asyncio.sleep(0.05)
        status, content = await harness.search()
        await leaving

        assert status == 503
        assert content["error"]["name"] == "INSTANCE_LEAVING"
        assert content["error"]["ran"] == "not-run"

    async def test_a_new_entry_starts_from_seeds_while_the_platform_is_down(
        self, harness: EntryHarness
    ) -> None:
        await list_entries(harness, harness.entry)
        await wait_until(lambda: harness.entry.node.fleet.by_name["entry-a"].peer_address)
        seeds = (str(harness.entry.peers.address),)
        other = await add_entry(harness, "entry-b", parse_address("127.0.0.1:1"), seeds)
        await wait_until(other.node.is_ready)
        version = other.node.active_publication.current.version
        await other.stop()

        assert version == 1

    async def test_a_version_is_fetched_from_a_peer(self, harness: EntryHarness) -> None:
        await list_entries(harness, harness.entry)
        await wait_until(lambda: harness.entry.node.fleet.by_name["entry-a"].peer_address)
        seeds = (str(harness.entry.peers.address),)
        other = await add_entry(harness, "entry-b", parse_address("127.0.0.1:1"), seeds)
        await wait_until(other.node.is_ready)
        listed = {"catalogue-0": ["127.0.0.1:9"], "catalogue-1": ["127.0.0.1:10"]}
        await harness.platform.publish(2, write_bundle(2, objects_for(listed)))
        await wait_until(lambda: other.node.active_publication.current.version == 2)
        streams = other.node.counters.value("peer_streams_opened")
        source = [line.cause for line in other.node.audit.lines if line.subject == "publication"]
        await other.stop()

        assert source[-1] == "peer entry-a"
        # One stream to the seed, and one that replaces it; entry-a does not list entry-b yet.
        assert streams <= 2
