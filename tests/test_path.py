"""Searches from end to end, over loopback connections."""

from support import EntryHarness


class TestPath:
    """Requests of callers over HTTP, through the entry to the endpoints and back."""

    async def test_an_answer_is_complete_and_from_one_snapshot(self, harness: EntryHarness) -> None:
        status, content = await harness.search()

        assert status == 200
        assert content["complete"] is True
        assert content["index_version"] == 1
        assert content["coverage"]["covered"] == ["part-0", "part-1"]
        assert {row["key"].split("-")[1] for row in content["rows"]} == {"0", "1"}

    async def test_callers_can_look_up_the_addresses_to_use(self, harness: EntryHarness) -> None:
        async with harness.http.get(harness.url("/v1/addresses?caller=workshop")) as response:
            content = await response.json()

        assert [line["name"] for line in content["addresses"]] == ["entry-a"]
        assert content["addresses"][0]["address"] == str(harness.entry.callers.address)

    async def test_an_unknown_collection_is_refused_as_not_run(self, harness: EntryHarness) -> None:
        status, content = await harness.search(collection="catalog")

        assert status == 404
        assert content["error"]["number"] == 1003
        assert content["error"]["ran"] == "not-run"

    async def test_a_refusal_names_the_invalid_field(self, harness: EntryHarness) -> None:
        status, content = await harness.search(limit="many")

        assert status == 400
        assert content["error"]["name"] == "BAD_FIELD"
        assert content["error"]["detail"].startswith("limit:")

    async def test_one_shedding_replica_does_not_reduce_coverage(
        self, harness: EntryHarness
    ) -> None:
        harness.endpoints_by_name["catalogue-0-0"].behaviour.shedding = True

        for _ in range(5):
            _, content = await harness.search()
            assert content["complete"] is True

    async def test_a_shard_whose_replicas_all_shed_is_reported_missing(
        self, harness: EntryHarness
    ) -> None:
        for name in ("catalogue-0-0", "catalogue-0-1"):
            harness.endpoints_by_name[name].behaviour.shedding = True

        _, content = await harness.search(deadline_ms=100.0)

        assert content["complete"] is False
        assert content["coverage"]["missing"] == ["part-0"]
