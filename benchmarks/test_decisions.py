"""CPU time of the decisions that every search makes."""

from random import Random
from typing import Any

import pytest

from radishmount.endpoints import Endpoint, LoadReport, Row, SubReply, make_least_time_choice
from radishmount.publication import EndpointSpec
from radishmount.queries import merge_rows


REPLICAS = 3
SHARDS = 100
ROWS = 20


@pytest.fixture
def endpoints() -> list[Endpoint]:
    specs = [EndpointSpec(f"e-{n}", "milano", f"127.0.0.1:{n + 1}") for n in range(REPLICAS)]
    endpoints = [Endpoint(spec, slots=2) for spec in specs]
    for endpoint in endpoints:
        endpoint.record_report(LoadReport(versions=frozenset({1})), sent_at_ms=0.0, now_ms=0.0)
    return endpoints


def test_choose_among_three(benchmark: Any, endpoints: list[Endpoint]) -> None:
    choose = make_least_time_choice("milano", Random(1))

    assert benchmark(choose, endpoints, (), 1.0) in endpoints


def test_merge_hundred_shards(benchmark: Any) -> None:
    replies = [
        SubReply(
            "r",
            n,
            f"s{n}",
            1,
            tuple(Row(f"k{n}-{i}", 1.0 / (i + 1)) for i in range(ROWS)),
            LoadReport(),
        )
        for n in range(SHARDS)
    ]

    assert len(benchmark(merge_rows, replies, ROWS)) == ROWS
