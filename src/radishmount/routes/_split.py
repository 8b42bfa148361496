"""The choice among the services of a route that is split by weight."""

from random import Random

from radishmount.routes._route import Route


__all__ = ["choose_service"]


def choose_service(route: Route, random: Random) -> str:
    """Return one of the route's services, each in proportion to its weight.

    The choice does not look at load: a service that is short of room refuses its own share.
    """
    if len(route.services) == 1:
        return route.services[0].service
    drawn = random.random() * sum(weighted.weight for weighted in route.services)
    for weighted in route.services:
        drawn -= weighted.weight
        if drawn < 0.0:
            return weighted.service
    return route.services[-1].service
