"""DRAIN after the store came back from a copy some seconds old."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import (  # noqa: E402
    BOUNDS, Backend, Instance, Record, Store, ask, configuration, free_ports, route, run,
)

AWAY_S = 1.0  # "away for a moment"
COPY_AGE_S = 6.0  # "a copy some seconds old"
BATCH = 24  # requests of a scheduled job
DRAIN_S = BOUNDS["drainMs"] / 1000.0
CONTACT_S = BOUNDS["contactMs"] / 1000.0


async def main(trouble):
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        ports = free_ports(5)
        store = Store(record, ports[0])
        store.counts_heartbeats = os.environ.get("COUNT_HEARTBEATS") == "1"
        await store.start()
        backends = [
            Backend(record, store, f"i-{n}", "catalogue", ports[1 + n]) for n in range(3)
        ]
        own_ports = free_ports(5)
        instances = [Instance(record, folder, n, own_ports, store.port) for n in range(1, 4)]
        seeds = [instance.control_address for instance in instances]
        version = 1

        def publish():
            nonlocal version
            version += 1
            routes = [route("query", "catalogue", timeout_ms=4000 + version)]
            store.put("op/config", configuration(version, routes, ["catalogue"]))
            record.line(f"store acknowledges: version {version} (revision {store.revision})")

        async def send_batch(label):
            async def send(n):
                request_id = f"{label}-{n}"
                instance = instances[n % len(instances)]
                record.line(f"client sends {request_id} to {instance.name}")
                sent_at = record.now()
                status, _, _ = await ask(instance.front_address, "/query/1", request_id, 2.0)
                record.line(f"client gets {status} for {request_id}")
                return request_id, sent_at, status

            return await asyncio.gather(*(send(n) for n in range(BATCH)))

        try:
            publish()
            for backend in backends:
                await backend.start()
            for instance in instances:
                instance.write_settings(seeds)
                await instance.start()
            for instance in instances:
                if not await instance.wait_until_ready():
                    return None
            await asyncio.sleep(6.0)
            if not all(status == 200 for _, _, status in await send_batch("first")):
                return None

            # The operator changes a time-out some times in a few seconds.
            await asyncio.sleep(COPY_AGE_S)
            for _ in range(8):
                publish()
                await asyncio.sleep(0.4)
            if trouble:
                record.line(f"store goes away for {AWAY_S} s")
                lost = await store.restore_copy(COPY_AGE_S, AWAY_S)
                record.line(
                    f"store is back in era {store.era}, revision {store.revision}, {lost} lost"
                )
                routes = [route("query", "catalogue", timeout_ms=4000 + version)]
                store.put("op/config", configuration(version, routes, ["catalogue"]))
                record.line(
                    f"store acknowledges: version {version} again (revision {store.revision})"
                )
            else:
                await asyncio.sleep(AWAY_S)

            await asyncio.sleep(CONTACT_S - 1.5)
            if not all(status == 200 for _, _, status in await send_batch("second")):
                return None
            # From contactMs after the drill on, the store is stable and all machines are in touch.
            await asyncio.sleep(2.0)
            leaving = backends[0]
            leaving.drain()
            await asyncio.sleep(DRAIN_S + 1.0)
            sent = await send_batch("third")
            late = [
                (at, request_id)
                for at, request_id in leaving.runs
                if at > leaving.draining_since + DRAIN_S and request_id.startswith("third")
            ]
            for at, request_id in late:
                record.line(
                    f"BROKEN: {request_id} reached {leaving.name} {at - leaving.draining_since:.3f}"
                    f" s after the acknowledgement of draining, drainMs is {DRAIN_S:.1f} s"
                )
            record.line(
                f"{len(late)} of {len(sent)} requests reached the draining backend too late"
            )
            leaving.leave()
            return bool(late)
        finally:
            for instance in instances:
                await instance.end()


run(main)
