"""Tests of the decision whether an answer of the store goes on from what is known."""

import asyncio

import pytest

from fakes import virtual_clock
from radishmount.discovery import StoreAnswer, StoreFailureKind, StorePosition
from radishmount.discovery._history_check import MAX_OUTDATED_MS, HistoryCheck, KnownView


pytestmark = pytest.mark.looptime

KNOWN = StorePosition(5, 100)
FULL = KnownView(KNOWN, None)
WATCH = KnownView(KNOWN, KNOWN)


def answer_at(era: int, revision: int) -> StoreAnswer:
    """Return an answer without entries."""
    return StoreAnswer((), StorePosition(era, revision))


def place(check: HistoryCheck, era: int, revision: int, view: KnownView) -> StorePosition | str:
    """Return where an answer is placed, or the kind of the failure."""
    placed = check.place(answer_at(era, revision), view, KNOWN)
    if placed.is_err():
        return placed.unwrap_err().kind.name
    return placed.unwrap().position


async def wait_for_belief() -> None:
    """Wait until a store that tells nothing newer is believed."""
    await asyncio.sleep(MAX_OUTDATED_MS / 1000.0)


class TestPlace:
    """Where an answer belongs, by what is known and for how long the store has been outdated."""

    @pytest.mark.parametrize("view", [FULL, WATCH])
    async def test_an_answer_that_goes_on_is_used(self, view: KnownView) -> None:
        check = HistoryCheck(virtual_clock())

        assert place(check, 5, 100, view) == KNOWN
        assert place(check, 5, 101, view) == StorePosition(5, 101)

    async def test_a_higher_era_is_used_after_a_full_read(self) -> None:
        check = HistoryCheck(virtual_clock())

        assert place(check, 6, 3, WATCH) == StoreFailureKind.RESTORED.name
        assert place(check, 6, 3, FULL) == StorePosition(6, 3)

    @pytest.mark.parametrize(("era", "revision"), [(4, 200), (0, 200), (5, 99)])
    async def test_an_answer_from_before_is_believed_after_a_while(
        self, era: int, revision: int
    ) -> None:
        """Guards against a view that nothing can correct any more."""
        check = HistoryCheck(virtual_clock())
        first = place(check, era, revision, WATCH)
        await wait_for_belief()
        watched = place(check, era, revision, WATCH)
        read = place(check, era, revision, FULL)

        assert first == StoreFailureKind.OUTDATED.name
        assert watched == StoreFailureKind.RESTORED.name
        assert read == StorePosition(100_000 + era, revision)

    async def test_an_answer_that_goes_on_ends_the_doubt(self) -> None:
        """Guards against two late answers, far from each other, that count as one spell."""
        check = HistoryCheck(virtual_clock())
        place(check, 4, 200, FULL)
        place(check, 5, 101, FULL)
        await wait_for_belief()

        assert place(check, 4, 200, FULL) == StoreFailureKind.OUTDATED.name

    async def test_a_newer_read_of_a_peer_begins_the_time_anew(self) -> None:
        """Guards against one instance on a replica that was left behind, which all follow."""
        clock = virtual_clock()
        check = HistoryCheck(clock)
        place(check, 4, 200, FULL)
        before = check.contradict(clock.now_ms() - 1.0)
        after = check.contradict(clock.now_ms())
        await wait_for_belief()

        assert (before, after) == (False, True)
        assert place(check, 4, 200, FULL) == StoreFailureKind.OUTDATED.name

    async def test_the_first_answer_of_a_new_store_is_believed(self) -> None:
        check = HistoryCheck(virtual_clock())
        check.trust_next()

        assert place(check, 0, 1, FULL) == StorePosition(100_000, 1)
        assert place(check, 0, 1, FULL) == StoreFailureKind.OUTDATED.name
