"""The check of a set of the size ahead: 3,300 endpoints and 1,300 shards."""

from pathlib import Path
from typing import Any

import orjson
import pytest
from result import Ok

from radishmount.border import check_folder, read_bundle, read_folder, write_bundle


SERVICES = 1_100
REPLICAS = 3
SHARDS = 1_300
DATA_CENTRES = 8
REPARTITIONED = 650


def large_set() -> list[dict[str, Any]]:
    """Return the objects; half of the shards were replaced, each at an index version of its own."""
    objects: list[dict[str, Any]] = [
        {"kind": "data-centre", "name": f"dc-{n}", "region": "padana"} for n in range(DATA_CENTRES)
    ]
    for number in range(SERVICES):
        endpoints = [
            {
                "name": f"service-{number}-{n}",
                "data_centre": f"dc-{(number + n) % DATA_CENTRES}",
                "address": f"127.{n}.{number // 250}.{number % 250}:9000",
            }
            for n in range(REPLICAS)
        ]
        objects.append(
            {
                "kind": "service",
                "name": f"service-{number}",
                "slots": 2,
                "connections": 25,
                "endpoints": endpoints,
            }
        )
    lows = ["", *[f"{n:05}" for n in range(1, SHARDS)]]
    parts = []
    for number, (low, high) in enumerate(zip(lows, [*lows[1:], None], strict=True)):
        keys = {"from": low, "to": high}
        shard = {
            "kind": "shard",
            "name": f"shard-{number}",
            "collection": "papers",
            "service": f"service-{number % SERVICES}",
            "keys": keys,
        }
        parts.append({"name": f"part-{number}", "keys": keys})
        objects.append(shard)
        if number < REPARTITIONED:
            changed_at = number + 2
            objects.append({**shard, "name": f"shard-{number}-new", "since": changed_at})
            shard["until"] = changed_at
    objects.append({"kind": "collection", "name": "papers", "parts": parts})
    return objects


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("large")
    (path / "set.jsonc").write_bytes(orjson.dumps(large_set()))
    return path


def test_check_large_folder(benchmark: Any, folder: Path) -> None:
    checked = benchmark(lambda: check_folder(read_folder(folder), version=1))

    assert isinstance(checked, Ok)


def test_read_large_bundle(benchmark: Any) -> None:
    body = write_bundle(1, large_set())

    assert isinstance(benchmark(read_bundle, body), Ok)
