"""What control costs one instance at rest: bytes, processor time and memory, by the fleet's size.

Only the control part runs: heartbeats and streams over loopback, the watches on a platform in
memory. `python benchmarks/test_control_cost.py` prints the table for 3 to 81 instances.
"""

import asyncio
import resource
import sys
import time
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border import (
    PeerCredentials,
    PeerServer,
    SocketAddress,
    make_peer_opener,
    serve_peers,
)
from radishmount.clock import loop_clock
from radishmount.codes import Code, Refusal
from radishmount.control import ControlPlane, ControlPlaneDependencies, make_control_plane
from radishmount.counters import Counters
from radishmount.fleet import Instance, InstanceList, InstanceState
from radishmount.publication import Diagnostic, Publication


KEY = b"a key for benchmarks only"
CENTRES = ("milano", "torino", "verona", "lucca")
SIZES = (3, 9, 27, 81)
SETTLING_S = 8.0
MEASURED_S = 20.0
FRAME_OVERHEAD_BYTES = 40 + 40  # TCP and IP headers of a frame, and of its acknowledgement


class MemoryPlatform:
    """Publishes one version and one list, and lets watches wait."""

    def __init__(self) -> None:
        self.listed = InstanceList(0, ())
        self.reads = 0

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return version 1 once."""
        return await self._answer(b"1" if after < 1 else None, wait_ms)

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list once."""
        return await self._answer(self.listed if after < self.listed.version else None, wait_ms)

    async def close(self) -> None:
        """Close nothing."""

    async def _answer(self, value: Any, wait_ms: int) -> Result[Any, Refusal]:
        self.reads += 1
        if value is None:
            await asyncio.sleep(wait_ms / 1000.0)
        return Ok(value)


@dataclass(frozen=True)
class Cost:
    """The cost of control for each instance."""

    instances: int
    streams: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    core_ratio: float
    counted_core_ratio: float
    memory_kb: float
    platform_reads_per_s: float

    def __str__(self) -> str:
        """Return one line of the table."""
        return (
            f"| {self.instances} | {self.streams:.1f} | {self.payload_bytes_per_s:.0f} |"
            f" {self.wire_bytes_per_s:.0f} | {100 * self.core_ratio:.2f} % |"
            f" {100 * self.counted_core_ratio:.2f} % | {self.memory_kb:.0f} |"
            f" {self.platform_reads_per_s:.2f} |"
        )


def read_number(body: bytes) -> Result[Publication, list[Diagnostic]]:
    if not body.isdigit():
        return Err([Diagnostic(Code.BROKEN_SYNTAX, "bundle")])
    return Ok(Publication(int(body), body.decode()))


async def measure(size: int, settling_s: float, measured_s: float) -> Cost:
    """Run `size` instances in this process and return what each of them costs at rest."""
    clock = loop_clock(asyncio.get_running_loop())
    platform = MemoryPlatform()
    memory_before_kb = resident_kb()
    controls: list[ControlPlane] = []
    servers: list[PeerServer] = []
    listed = []
    for number in range(size):
        control = make_instance(number, platform)
        own = PeerCredentials(KEY, control.fleet.members, clock.cpu_ms)
        listen = SocketAddress("127.0.0.1", 0)
        served = await serve_peers(listen, own, control.counters, control.peers.accept)
        servers.append(served.unwrap())
        controls.append(control)
        name, centre = control.dependencies.name, control.dependencies.data_centre
        listed.append(Instance(name, centre, "", str(servers[-1].address), InstanceState.LIVE))
    platform.listed = InstanceList(1, tuple(listed))
    for control in controls:
        control.start()
    await asyncio.sleep(settling_s)
    reads, cpu_s, started_s = platform.reads, time.process_time(), time.perf_counter()
    bytes_before, frames_before, counted_before = totals(controls)
    await asyncio.sleep(measured_s)
    passed_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - cpu_s
    payload, frames, counted_ms = totals(controls)
    memory_kb = (resident_kb() - memory_before_kb) / size
    streams = sum(len(control.peers.sessions_by_name) for control in controls) / size
    reads_per_s = (platform.reads - reads) / passed_s
    for control in controls:
        await control.stop()
    for server in servers:
        await server.stop()
    each_s = size * passed_s
    payload_per_s = (payload - bytes_before) / each_s
    return Cost(
        instances=size,
        streams=streams,
        payload_bytes_per_s=payload_per_s,
        wire_bytes_per_s=payload_per_s + FRAME_OVERHEAD_BYTES * (frames - frames_before) / each_s,
        core_ratio=cpu_s / each_s,
        counted_core_ratio=(counted_ms - counted_before) / 1000.0 / each_s,
        memory_kb=memory_kb,
        platform_reads_per_s=reads_per_s,
    )


def make_instance(number: int, platform: MemoryPlatform) -> ControlPlane:
    clock = loop_clock(asyncio.get_running_loop())
    parts = ControlPlaneDependencies(
        name=f"entry-{number:03d}",
        data_centre=CENTRES[number % len(CENTRES)],
        clock=clock,
        random=Random(number),
        platform=platform,
        read_bundle=read_number,
        open_peer_for=lambda members, counters: make_peer_opener(
            PeerCredentials(KEY, members, clock.cpu_ms), counters
        ),
    )
    return make_control_plane(parts, AuditTrail(clock), Counters())


def totals(controls: list[ControlPlane]) -> tuple[float, float, float]:
    """Return bytes in and out, frames in and out, and counted processor time of all."""
    payload = frames = counted_ms = 0.0
    for control in controls:
        for (name, _label), value in control.counters.by_name.items():
            if name == "control_bytes":
                payload += value
            if name == "control_frames":
                frames += value
            if name == "control_cpu_ms":
                counted_ms += value
    return payload, frames, counted_ms


def resident_kb() -> float:
    """Return the resident memory of this process in kilobytes."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1024.0


@pytest.mark.parametrize("size", [3, 9])
def test_control_at_rest(benchmark: Any, size: int) -> None:
    def run() -> Cost:
        return asyncio.run(measure(size, settling_s=3.0, measured_s=3.0))

    cost = benchmark.pedantic(run, rounds=1)
    benchmark.extra_info["cost"] = str(cost)

    assert cost.streams == size - 1
    assert cost.wire_bytes_per_s < 5_000.0


def main() -> None:
    """Print the table."""
    print("| instances | streams | payload B/s | wire B/s | core | counted | memory KB | reads/s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        print(asyncio.run(measure(size, SETTLING_S, MEASURED_S)), flush=True)


if __name__ == "__main__":
    main()
