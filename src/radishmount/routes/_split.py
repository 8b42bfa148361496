"""Traffic splitting: the choice among the services of a route by weight."""

from random import Random

from radishmount.routes._route import Route


__all__ = ["choose_service"]


def choose_service(route: Route, random: Random) -> str:
    """Return one of the route's services at random, in proportion to their weights.

    Load is not considered: an overloaded service refuses requests of its own share.
    """
    if len(route.services) == 1:
        return route.services[0].service
    drawn = random.random() * sum(weighted.weight for weighted in route.services)
    for weighted in route.services:
        drawn -= weighted.weight
        if drawn < 0.0:
            return weighted.service
    return route.services[-1].service
