"""Tests of an instance whose machine was suspended."""

from platform_harness import single_route, start_platform_harness


class TestPause:
    """After a pause, new requests wait until the instance has read the store again."""

    async def test_the_store_is_read_before_the_next_request_is_handled(self) -> None:
        boot_ms = [0.0]
        harness = await start_platform_harness(lambda: boot_ms[0])
        await harness.add_back_end("orders", "i-1")
        await harness.publish(1, single_route())
        harness.store.withholds_events = True  # the open watch delivers no more changes
        await harness.store.put("op/config", {"version": 2, "routes": [], "services": []})
        before = harness.instance.gateway.publication.version
        harness.store.withholds_events = False
        boot_ms[0] += 5_000.0

        status, _, _ = await harness.send_request("/orders/1")

        assert (before, status) == (1, 404)
        assert harness.instance.gateway.counters.value("pauses") == 1
        await harness.stop()
