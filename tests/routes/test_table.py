"""The choice of the route of a request."""

from radishmount.routes import Route, RouteTable


class TestRouteTable:
    """The route with the longest matching prefix of the host is found."""

    def table(self) -> RouteTable:
        """Return a table with nested prefixes on one host, and one on another."""
        return RouteTable.of(
            [
                Route("outer", "a.example", "/x/"),
                Route("inner", "a.example", "/x/y/"),
                Route("other", "b.example", "/"),
            ]
        )

    def name_of(self, host: str, path: str) -> str | None:
        """Return the name of the route that is found, if any."""
        route = self.table().find(host, path)
        return None if route is None else route.name

    def test_the_longest_prefix_wins(self) -> None:
        assert self.name_of("a.example", "/x/y/z") == "inner"

    def test_a_prefix_ends_at_a_slash(self) -> None:
        assert self.name_of("a.example", "/x/yz") == "outer"

    def test_a_path_equal_to_the_prefix_matches(self) -> None:
        assert self.name_of("a.example", "/x/y/") == "inner"

    def test_a_path_without_the_last_slash_does_not_match(self) -> None:
        assert self.name_of("a.example", "/x") is None

    def test_routes_of_other_hosts_do_not_match(self) -> None:
        assert self.name_of("a.example", "/q") is None
        assert self.name_of("b.example", "/q") == "other"

    def test_dots_are_not_resolved(self) -> None:
        assert self.name_of("a.example", "/q/../x/1") is None
