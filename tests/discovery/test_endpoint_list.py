"""Tests of the list of registered endpoints."""

from radishmount.discovery import EndpointList, ListedEndpoint
from radishmount.publication import Publication, Service


def make_endpoint(name: str, service: str = "s", **fields: object) -> ListedEndpoint:
    """Return an endpoint of a service."""
    return ListedEndpoint(name, service, f"10.0.0.1:{len(name)}", "milano", 2, **fields)


class TestEndpointList:
    """Which endpoints are listed, and for how long."""

    def test_an_invalid_entry_removes_its_endpoint_and_no_other(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a"), 0.0)
        endpoints.put("b", make_endpoint("b"), 0.0)

        endpoints.put("a", None, 1.0)

        assert set(endpoints.by_name) == {"b"}

    def test_a_removal_is_applied_at_once(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a"), 0.0)

        endpoints.remove("a", 1.0)

        assert not endpoints.by_name

    def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace_period(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a"), 0.0)
        endpoints.put("b", make_endpoint("b"), 0.0)
        endpoints.begin_grace(10_000.0)
        endpoints.replace_all({}, 10_000.0)

        endpoints.put("a", make_endpoint("a"), 11_900.0)

        assert not endpoints.expire(12_000.0)
        assert set(endpoints.by_name) == {"a", "b"}
        assert endpoints.expire(12_600.0)
        assert set(endpoints.by_name) == {"a"}

    def test_endpoints_are_merged_into_published_services(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a", "s"), 0.0)
        endpoints.put("b", make_endpoint("b", "unknown"), 0.0)
        services = {"s": Service("s", 0, 26, ())}

        merged = endpoints.merge_into(Publication(3, "d", services_by_name=services))

        assert set(merged.endpoints_by_name) == {"a"}
        assert merged.services_by_name["s"].connections == 26
        assert merged.services_by_name["s"].slots == 2

    def test_an_older_state_does_not_take_back_that_an_endpoint_drains(self) -> None:
        """Guards against a write that the store applies late, after a newer one."""
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a", is_draining=True, started_at_ms=5), 0.0)

        endpoints.put("a", make_endpoint("a", started_at_ms=5), 1.0)
        late = endpoints.draining_names
        endpoints.remove("a", 2.0)
        endpoints.put("a", make_endpoint("a", started_at_ms=5), 3.0)
        returned = endpoints.draining_names
        endpoints.put("a", make_endpoint("a", started_at_ms=6), 4.0)

        assert late == returned == {"a"}
        assert endpoints.draining_names == set()

    def test_draining_endpoints_are_returned(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a", is_draining=True), 0.0)
        endpoints.put("b", make_endpoint("b"), 0.0)

        assert endpoints.draining_names == {"a"}

    def test_an_announcement_of_a_start_that_cannot_be_told_from_the_next_one_lapses(self) -> None:
        """Guards against an endpoint that starts again under its name, and is never used again."""
        endpoints = EndpointList()
        endpoints.put("a", make_endpoint("a"), 0.0)
        endpoints.record_departure("a", 0.0)
        leaving = endpoints.draining_names
        endpoints.expire(59_999.0)
        kept = endpoints.draining_names
        endpoints.expire(60_001.0)

        assert leaving == kept == {"a"}
        assert endpoints.draining_names == set()
