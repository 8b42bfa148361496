"""Tests of the listed endpoints."""

from radishmount.discovery import EndpointList, ListedEndpoint
from radishmount.publication import Publication, Service


def listed(name: str, service: str = "s", **fields: object) -> ListedEndpoint:
    """Return an endpoint of a service."""
    return ListedEndpoint(name, service, f"10.0.0.1:{len(name)}", "milano", 2, **fields)


class TestEndpointList:
    """What is listed, and for how long."""

    def test_an_invalid_entry_names_nothing_and_disturbs_no_other(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", listed("a"), 0.0)
        endpoints.put("b", listed("b"), 0.0)

        endpoints.put("a", None, 1.0)

        assert set(endpoints.by_name) == {"b"}

    def test_a_removal_counts_at_once(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", listed("a"), 0.0)

        endpoints.remove("a", 1.0)

        assert not endpoints.by_name

    def test_what_lapsed_in_an_outage_is_kept_until_two_seconds_after_it(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", listed("a"), 0.0)
        endpoints.put("b", listed("b"), 0.0)
        endpoints.begin_grace(10_000.0)
        endpoints.replace_all({}, 10_000.0)

        endpoints.put("a", listed("a"), 11_900.0)

        assert not endpoints.expire(12_000.0)
        assert set(endpoints.by_name) == {"a", "b"}
        assert endpoints.expire(12_600.0)
        assert set(endpoints.by_name) == {"a"}

    def test_join_puts_endpoints_under_the_services_that_are_published(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", listed("a", "s"), 0.0)
        endpoints.put("b", listed("b", "unknown"), 0.0)
        services = {"s": Service("s", 0, 26, ())}

        joined = endpoints.merge_into(Publication(3, "d", services_by_name=services))

        assert set(joined.endpoints_by_name) == {"a"}
        assert joined.services_by_name["s"].connections == 26
        assert joined.services_by_name["s"].slots == 2

    def test_draining_endpoints_are_told(self) -> None:
        endpoints = EndpointList()
        endpoints.put("a", listed("a", is_draining=True), 0.0)
        endpoints.put("b", listed("b"), 0.0)

        assert endpoints.draining_names == {"a"}
