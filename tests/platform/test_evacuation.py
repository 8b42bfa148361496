"""An evacuation in the store, through a whole instance over loopback."""

from platform_harness import single_route, start_platform_harness


class TestEvacuation:
    """The operator writes and removes the key of the only data centre that has endpoints."""

    async def test_its_endpoints_are_used_before_and_after_it_only(self) -> None:
        """Guards against a key that is read and not acted on, or never withdrawn."""
        harness = await start_platform_harness()
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        pool = harness.instance.gateway.pool
        statuses = [(await harness.send_request("/orders/7"))[0]]
        await harness.store.put("op/evacuate/z1", {})
        await harness.wait_until(lambda: pool.evacuated_data_centres == {"z1"})
        statuses.append((await harness.send_request("/orders/7", request_id="q2"))[0])
        await harness.store.remove("op/evacuate/z1")
        await harness.wait_until(lambda: not pool.evacuated_data_centres)
        statuses.append((await harness.send_request("/orders/7", request_id="q3"))[0])
        await harness.stop()

        assert statuses == [200, 503, 200]
        assert [request.request_id for request in back_end.received] == ["q1", "q3"]

    async def test_an_instance_that_was_suspended_sends_nothing_there(self) -> None:
        """Guards against requests that are sent before the store is consulted again."""
        boot_ms = [0.0]
        harness = await start_platform_harness(lambda: boot_ms[0])
        back_end = await harness.add_back_end("orders", "b1")
        await harness.publish(3, single_route())
        harness.store.withholds_events = True  # the open watch delivers no more changes
        await harness.store.put("op/evacuate/z1", {})
        harness.store.withholds_events = False
        boot_ms[0] += 5_000.0
        status, _, _ = await harness.send_request("/orders/7")
        await harness.stop()

        assert (status, back_end.received) == (503, [])
