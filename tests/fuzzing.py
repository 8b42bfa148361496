"""Hypothesis settings and strategies for the fuzz tests."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st


HANG_LIMIT_S = 20.0
FUZZ = settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
FUZZ_MANY = settings(FUZZ, max_examples=400)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["", "0ms", "1h", "127.0.0.1:1", "shard", "\x00", "𐏿"]),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def can_pack(value: Any) -> bool:
    try:
        msgpack.packb(value)
    except (ValueError, OverflowError, UnicodeEncodeError):
        return False
    return True


def packed(content: st.SearchStrategy[Any]) -> st.SearchStrategy[bytes]:
    return content.filter(can_pack).map(msgpack.packb)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path to each value within `value`, as keys and indexes."""
    steps: list[Any] = []
    if isinstance(value, dict):
        steps = list(value)
    if isinstance(value, list):
        steps = list(range(len(value)))
    return [path, *(p for step in steps for p in paths_of(value[step], (*path, step)))]


@st.composite
def mutated(draw: st.DrawFn, valid: Any) -> Any:
    """Return `valid` with one value replaced, removed or added."""
    value = json.loads(json.dumps(valid))
    path = draw(st.sampled_from(paths_of(value)))
    if not path:
        return draw(json_values)
    holder = value
    for step in path[:-1]:
        holder = holder[step]
    kind = draw(st.sampled_from(["replace", "remove", "add"]))
    if kind == "remove":
        del holder[path[-1]]
    elif kind == "add" and isinstance(holder, dict):
        holder[draw(st.text(max_size=8))] = draw(json_values)
    else:
        holder[path[-1]] = draw(json_values)
    return value


@st.composite
def mutated_bytes(draw: st.DrawFn, valid: bytes) -> bytes:
    """Return `valid` with some bytes removed and others inserted."""
    content = bytearray(valid)
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(content)))
        length = draw(st.integers(0, 12))
        content[start : start + length] = draw(st.binary(max_size=8))
    return bytes(content)


def as_json(value: Any) -> bytes:
    return json.dumps(value).encode("utf-8", "surrogatepass")


def mutated_bodies(valid: Any) -> st.SearchStrategy[bytes]:
    return mutated(valid).map(as_json) | mutated_bytes(as_json(valid)) | st.binary(max_size=60)


def run_example(work: Callable[[], Awaitable[None]]) -> None:
    """Run one example within a time limit; fail if it leaves a task behind."""

    async def bounded() -> None:
        async with asyncio.timeout(HANG_LIMIT_S):
            await work()
        leftover_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        assert leftover_tasks == set()

    asyncio.run(bounded())
