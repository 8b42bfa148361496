"""The routes of one version, by host and prefix."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from radishmount.routes._route import Route


__all__ = ["EMPTY_ROUTES", "RouteTable"]


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Finds the route of a request: the longest prefix of the path among those of its host.

    table = RouteTable.of([Route("r-1", "shop.example", "/stock/")])
    table.find("shop.example", "/stock/17")
    """

    routes_by_host_and_prefix: Mapping[tuple[str, str], Route] = field(default_factory=dict)

    @classmethod
    def of(cls, routes: Iterable[Route]) -> "RouteTable":
        """Return a table of `routes`."""
        return cls({(route.host, route.prefix): route for route in routes})

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `path` at `host`. Every prefix begins and ends with a slash.

        The cost grows with the slashes of the path, not with the number of routes.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.routes_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


EMPTY_ROUTES = RouteTable()
