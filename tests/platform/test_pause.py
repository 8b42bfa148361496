"""Tests of an instance whose machine was suspended."""

from platform_harness import single_route, start_platform_harness


class TestPause:
    """New work waits until what was believed before the pause is renewed."""

    async def test_the_store_is_read_before_the_next_request_is_handled(self) -> None:
        boot_ms = [0.0]
        world = await start_platform_harness(lambda: boot_ms[0])
        await world.add("orders", "i-1")
        await world.publish(1, single_route())
        world.store.is_mute = True  # the watch that is open brings nothing any more
        await world.store.put("op/config", {"version": 2, "routes": [], "services": []})
        before = world.instance.gateway.publication.version
        world.store.is_mute = False
        boot_ms[0] += 5_000.0

        status, _, _ = await world.ask("/orders/1")

        assert (before, status) == (1, 404)
        assert world.instance.gateway.counters.value("pauses") == 1
        await world.stop()
