"""Cost of the control plane of an idle instance: bytes, CPU time and memory, by fleet size.

Only control planes run, without endpoints or callers: they exchange heartbeats over loopback
streams and watch an in-memory platform.

    python benchmarks/test_control_cost.py    # prints the table for 3 to 81 instances
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


PEER_KEY = b"a key for benchmarks only"
DATA_CENTRES = ("milano", "torino", "verona", "lucca")
FLEET_SIZES = (3, 9, 27, 81)
WARM_UP_S = 8.0
MEASURED_S = 20.0
FRAME_OVERHEAD_BYTES = 40 + 40  # TCP and IP headers of a frame and of its ACK


class InMemoryPlatform:
    """Serves one bundle and one instance list; a long poll for newer ones waits in full."""

    def __init__(self) -> None:
        self.current_list = InstanceList(0, ())
        self.reads = 0

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return version 1 if it is newer than `after`; otherwise none, after `wait_ms`."""
        return await self._answer(b"1" if after < 1 else None, wait_ms)

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list if it is newer than `after`; otherwise none, after `wait_ms`."""
        return await self._answer(
            self.current_list if after < self.current_list.version else None, wait_ms
        )

    async def close(self) -> None:
        """Do nothing, as there is no connection."""

    async def _answer(self, value: Any, wait_ms: int) -> Result[Any, Refusal]:
        self.reads += 1
        if value is None:
            await asyncio.sleep(wait_ms / 1000.0)
        return Ok(value)


@dataclass(frozen=True)
class ControlCost:
    """The mean cost of the control plane per instance.

    `cpu_ratio` is CPU time of the process per second, `counted_cpu_ratio` the part of it that the
    `control_cpu_ms` counter accounts for.
    """

    instances: int
    streams: float
    payload_bytes_per_s: float
    wire_bytes_per_s: float
    cpu_ratio: float
    counted_cpu_ratio: float
    memory_kib: float
    platform_reads_per_s: float

    def __str__(self) -> str:
        """Return one row of the table."""
        return (
            f"| {self.instances} | {self.streams:.1f} | {self.payload_bytes_per_s:.0f} |"
            f" {self.wire_bytes_per_s:.0f} | {100 * self.cpu_ratio:.2f} % |"
            f" {100 * self.counted_cpu_ratio:.2f} % | {self.memory_kib:.0f} |"
            f" {self.platform_reads_per_s:.2f} |"
        )


def parse_version_bundle(body: bytes) -> Result[Publication, list[Diagnostic]]:
    """Return an empty publication whose version is the number in `body`."""
    if not body.isdigit():
        return Err([Diagnostic(Code.BROKEN_SYNTAX, "bundle")])
    return Ok(Publication(int(body), body.decode()))


async def measure(size: int, warm_up_s: float, measured_s: float) -> ControlCost:
    """Run the control planes of `size` idle instances in this process; return their mean cost."""
    clock = loop_clock(asyncio.get_running_loop())
    platform = InMemoryPlatform()
    memory_before_kib = resident_kib()
    control_planes: list[ControlPlane] = []
    servers: list[PeerServer] = []
    instances = []
    for number in range(size):
        control = make_control(number, platform)
        credentials = PeerCredentials(PEER_KEY, control.fleet.members, clock.cpu_ms)
        listen_address = SocketAddress("127.0.0.1", 0)
        result = await serve_peers(
            listen_address, credentials, control.counters, control.peers.accept
        )
        servers.append(result.unwrap())
        control_planes.append(control)
        name, data_centre = control.dependencies.name, control.dependencies.data_centre
        instances.append(
            Instance(name, data_centre, "", str(servers[-1].address), InstanceState.LIVE)
        )
    platform.current_list = InstanceList(1, tuple(instances))
    for control in control_planes:
        control.start()
    await asyncio.sleep(warm_up_s)
    reads_before, cpu_s, started_s = platform.reads, time.process_time(), time.perf_counter()
    payload_bytes_before, frames_before, counted_before_ms = sum_counters(control_planes)
    await asyncio.sleep(measured_s)
    elapsed_s = time.perf_counter() - started_s
    cpu_s = time.process_time() - cpu_s
    payload_bytes, frames, counted_ms = sum_counters(control_planes)
    memory_kib = (resident_kib() - memory_before_kib) / size
    streams = sum(len(control.peers.sessions_by_name) for control in control_planes) / size
    reads_per_s = (platform.reads - reads_before) / elapsed_s
    for control in control_planes:
        await control.stop()
    for server in servers:
        await server.stop()
    instance_seconds = size * elapsed_s
    payload_bytes_per_s = (payload_bytes - payload_bytes_before) / instance_seconds
    return ControlCost(
        instances=size,
        streams=streams,
        payload_bytes_per_s=payload_bytes_per_s,
        wire_bytes_per_s=payload_bytes_per_s
        + FRAME_OVERHEAD_BYTES * (frames - frames_before) / instance_seconds,
        cpu_ratio=cpu_s / instance_seconds,
        counted_cpu_ratio=(counted_ms - counted_before_ms) / 1000.0 / instance_seconds,
        memory_kib=memory_kib,
        platform_reads_per_s=reads_per_s,
    )


def make_control(number: int, platform: InMemoryPlatform) -> ControlPlane:
    clock = loop_clock(asyncio.get_running_loop())
    dependencies = ControlPlaneDependencies(
        name=f"entry-{number:03d}",
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        clock=clock,
        random=Random(number),
        platform=platform,
        read_bundle=parse_version_bundle,
        open_peer_for=lambda members, counters: make_peer_opener(
            PeerCredentials(PEER_KEY, members, clock.cpu_ms), counters
        ),
    )
    return make_control_plane(dependencies, AuditTrail(clock), Counters())


def sum_counters(control_planes: list[ControlPlane]) -> tuple[float, float, float]:
    """Return the bytes, the frames and the counted CPU time in ms, summed over all instances."""
    payload_bytes = frames = counted_ms = 0.0
    for control in control_planes:
        for (name, _label), value in control.counters.by_name.items():
            if name == "control_bytes":
                payload_bytes += value
            if name == "control_frames":
                frames += value
            if name == "control_cpu_ms":
                counted_ms += value
    return payload_bytes, frames, counted_ms


def resident_kib() -> float:
    """Return the resident memory of this process in KiB."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1024.0


@pytest.mark.parametrize("size", [3, 9])
def test_idle_control_plane(benchmark: Any, size: int) -> None:
    def measure_fleet() -> ControlCost:
        return asyncio.run(measure(size, warm_up_s=3.0, measured_s=3.0))

    cost = benchmark.pedantic(measure_fleet, rounds=1)
    benchmark.extra_info["cost"] = str(cost)

    assert cost.streams == size - 1
    assert cost.wire_bytes_per_s < 5_000.0


def main() -> None:
    """Print the table."""
    print("| instances | streams | payload B/s | wire B/s | CPU | counted | memory KiB | reads/s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in [int(word) for word in sys.argv[1:]] or FLEET_SIZES:
        print(asyncio.run(measure(size, WARM_UP_S, MEASURED_S)), flush=True)


if __name__ == "__main__":
    main()
