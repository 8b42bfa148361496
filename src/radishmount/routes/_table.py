"""The routes of one version of the configuration, by host and prefix."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from radishmount.routes._route import Route


__all__ = ["EMPTY_ROUTES", "RouteTable"]


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Finds the route of a request: the one of its host with the longest matching prefix.

    table = RouteTable.of([Route("r-1", "shop.example", "/stock/")])
    table.find("shop.example", "/stock/17")
    """

    routes_by_host_and_prefix: Mapping[tuple[str, str], Route] = field(default_factory=dict)

    @classmethod
    def of(cls, routes: Iterable[Route]) -> "RouteTable":
        """Return a table of `routes`, whose prefixes all begin and end with a slash."""
        return cls({(route.host, route.prefix): route for route in routes})

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for `path` at `host`, or None where no prefix matches.

        The cost grows with the number of slashes in the path, not with the number of routes.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.routes_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


EMPTY_ROUTES = RouteTable()
