"""Records of calls and endpoints as in a run without faults; tests alter them."""

from dataclasses import replace

from radishmount.publication import KeyRange, Part
from radishmount.trial import CallOutcome, CallRecord, EndpointRecord, RowOrigin


PARTS = {"catalogue": [Part("low", KeyRange("", "5")), Part("high", KeyRange("5", None))]}


def endpoint_record(shard: str = "shard-1", **fields) -> EndpointRecord:  # type: ignore[no-untyped-def]
    defaults = {
        "endpoint": f"{shard}-a",
        "at_ms": 1_000.0,
        "request_id": "q1.0",
        "attempt": 1,
        "shard": shard,
        "index_version": 1,
        "text": "words of q1",
        "outcome": "ok",
        "ran": True,
    }
    return EndpointRecord(**{**defaults, **fields})


def reported_row(shard: str, keys: KeyRange, **fields) -> RowOrigin:  # type: ignore[no-untyped-def]
    reported = RowOrigin(
        key=f"{keys.low}{shard}",
        endpoint=f"{shard}-a",
        request_id="q1.0",
        attempt=1,
        index_version=1,
        text="words of q1",
        keys=keys,
    )
    return replace(reported, **fields)


def answered_call(**fields) -> CallRecord:  # type: ignore[no-untyped-def]
    defaults = {
        "caller": "workshops",
        "call_id": "q1",
        "collection": "catalogue",
        "text": "words of q1",
        "at_ms": 0.0,
        "deadline_ms": 200.0,
        "latency_ms": 20.0,
        "outcome": CallOutcome.ANSWER,
        "request_id": "q1.0",
        "echoed_request_id": "q1.0",
        "index_version": 1,
        "complete": True,
        "covered": ("low", "high"),
        "rows": (
            reported_row("shard-1", KeyRange("", "5")),
            reported_row("shard-2", KeyRange("5", None)),
        ),
    }
    return CallRecord(**{**defaults, **fields})


def endpoint_records() -> list[EndpointRecord]:
    return [endpoint_record("shard-1"), endpoint_record("shard-2")]
