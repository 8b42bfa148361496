"""Tests of the log lines for forwarded requests, on virtual time."""

from collections import Counter
from typing import Any

import pytest

from forward_harness import ForwardHarness, forward_harness
from radishmount.logs import RequestLog


pytestmark = pytest.mark.looptime


class LineRecorder:
    """Records the lines that the requests of a harness write, with their fields."""

    def __init__(self, harness: ForwardHarness) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        log = RequestLog(
            harness.clock,
            harness.counters,
            lambda message, fields: self.lines.append((message, fields)),
        )
        harness.context.on_record = log.write

    def counts_by_kind(self) -> Counter[str]:
        """Return how many lines there are of each kind."""
        return Counter(message for message, _ in self.lines)

    def only_line(self, kind: str) -> dict[str, Any]:
        """Return the fields of the one line of a kind."""
        (fields,) = [fields for message, fields in self.lines if message == f"request {kind}"]
        return fields


class TestRequestLog:
    """Each request that did not end in an ordinary answer gets a line."""

    async def test_the_line_of_a_refused_request_says_why_and_that_it_did_not_run(self) -> None:
        async with forward_harness(1) as harness:
            lines = LineRecorder(harness)
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_shed = 9

            await harness.send(harness.single_route())

            fields = lines.only_line("refused")
            assert fields["request_id"] == "r1"
            assert (fields["code_name"], fields["ran"]) == ("SHED", "not-run")
            assert {a["result"] for a in fields["unusual_attempts"]} == {"SHED"}

    async def test_the_line_of_a_request_without_a_reply_names_its_endpoints(self) -> None:
        async with forward_harness(1) as harness:
            lines = LineRecorder(harness)
            for endpoint in harness.endpoints_of("s0"):
                endpoint.silent = True

            await harness.send(harness.single_route(max_attempts=2))

            fields = lines.only_line("failed")
            assert fields["code_name"] == "TIMED_OUT"
            attempts = fields["unusual_attempts"]
            assert len({attempt["endpoint"] for attempt in attempts}) == 2
            assert [attempt["purpose"] for attempt in attempts] == ["first", "hedge"]

    async def test_the_line_of_a_partial_answer_names_the_missing_shards(self) -> None:
        async with forward_harness(4) as harness:
            lines = LineRecorder(harness)
            for endpoint in harness.endpoints_of("s3"):
                endpoint.silent = True

            await harness.send(harness.fan_out_route())

            assert lines.only_line("partial")["missing"] == ["s3"]

    async def test_the_lines_of_a_thousand_failures_are_limited(self) -> None:
        async with forward_harness(1) as harness:
            lines = LineRecorder(harness)
            for endpoint in harness.endpoints_of("s0"):
                endpoint.requests_to_shed = 100_000

            for _ in range(1_000):
                await harness.send(harness.single_route())

            elapsed_s = harness.clock.now_ms() / 1000.0 + 1.0
            assert lines.counts_by_kind()["request refused"] <= 20 * elapsed_s + 20
            assert harness.counters.value("log_lines_withheld", "refused") > 0

    async def test_ordinary_answers_are_sampled(self) -> None:
        async with forward_harness(1) as harness:
            lines = LineRecorder(harness)
            for _ in range(200):
                await harness.send(harness.single_route())

            assert lines.counts_by_kind()["request answered"] < 20
            assert harness.counters.value("requests", "answered") == 200
