"""Tests of what the instances of a large fleet send to each other, on virtual time."""

import asyncio

import pytest

from store_harness import GossipHarness, endpoint_entry


pytestmark = pytest.mark.looptime

FLEET_SIZE = 60
TARGET_BYTES_PER_S = 5_000.0  # of control traffic for each instance, as the users state it
OVERHEAD_BYTES = 80  # of a frame: its MAC, and the headers of TCP and IP
LARGEST_STREAM_COUNT = 14  # of an instance: neighbours, seeds and random probes


def bytes_per_instance(harness: GossipHarness) -> float:
    """Return what each instance has sent on average, with the overhead of its frames."""
    network = harness.network
    frames = sum(network.sent_frames_by_kind.values())
    return (sum(network.sent_bytes_by_name.values()) + OVERHEAD_BYTES * frames) / FLEET_SIZE


def clear_counts(harness: GossipHarness) -> None:
    """Start counting anew."""
    harness.network.sent_bytes_by_name.clear()
    harness.network.sent_frames_by_kind.clear()


class TestTrafficOfALargeFleet:
    """Pattern: a fleet at rest, and one that loses many instances at once."""

    async def test_rest_and_the_loss_of_a_third_stay_within_the_target(self) -> None:
        """Flooding each change by itself costs a frame on every stream for every instance lost."""
        harness = GossipHarness(entries=[endpoint_entry(f"i-{n}") for n in range(50)])
        await harness.start(FLEET_SIZE)
        clear_counts(harness)
        await asyncio.sleep(10.0)
        at_rest = bytes_per_instance(harness) / 10.0
        news_at_rest = harness.network.sent_frames_by_kind.get("RosterNews", 0)
        clear_counts(harness)
        for name in list(harness.by_name)[: FLEET_SIZE // 3]:
            await harness.kill(name)
        await asyncio.sleep(10.0)
        after_loss = bytes_per_instance(harness) / 10.0
        await harness.stop()

        assert at_rest < TARGET_BYTES_PER_S
        assert news_at_rest == 0  # new streams find equal digests
        assert after_loss < TARGET_BYTES_PER_S

    async def test_updates_that_come_together_share_their_frames(self) -> None:
        """An instance that passes on each update at once sends a frame for each to each peer."""
        harness = GossipHarness()
        await harness.start(FLEET_SIZE)
        clear_counts(harness)
        for name in list(harness.by_name)[:20]:
            harness.by_name[name].control_plane.fleet.members.update_own_load(1.0)
        await asyncio.sleep(0.5)
        frames = harness.network.sent_frames_by_kind["Heartbeat"]
        knows_all = [
            sum(
                member.update.state == "overloaded"
                for member in instance.control_plane.fleet.members.by_name.values()
            )
            for instance in list(harness.by_name.values())[20:]
        ]
        await harness.stop()

        assert knows_all == [20] * 40
        # At most once each for the changes of its own, of its neighbours, of theirs and so on.
        assert frames < 4 * FLEET_SIZE * LARGEST_STREAM_COUNT
