"""Checking and reading a large set of published objects: 3,300 endpoints and 1,300 shards.

This is the size that the tier is expected to reach.
"""

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
REPLACED_SHARDS = 650


def make_large_set() -> list[dict[str, Any]]:
    """Return the objects; half of the shards are replaced, each at its own index version."""
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
    lower_bounds = ["", *[f"{n:05}" for n in range(1, SHARDS)]]
    parts = []
    for number, (low, high) in enumerate(zip(lower_bounds, [*lower_bounds[1:], None], strict=True)):
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
        if number < REPLACED_SHARDS:
            index_version = number + 2
            objects.append({**shard, "name": f"shard-{number}-new", "since": index_version})
            shard["until"] = index_version
    objects.append({"kind": "collection", "name": "papers", "parts": parts})
    return objects


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    path = tmp_path_factory.mktemp("large")
    (path / "set.jsonc").write_bytes(orjson.dumps(make_large_set()))
    return path


def test_check_large_folder(benchmark: Any, folder: Path) -> None:
    result = benchmark(lambda: check_folder(read_folder(folder), version=1))

    assert isinstance(result, Ok)


def test_read_large_bundle(benchmark: Any) -> None:
    body = write_bundle(1, make_large_set())

    assert isinstance(benchmark(read_bundle, body), Ok)
