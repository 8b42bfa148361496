"""The division of an endpoint's connection cap among the instances that may connect to it."""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.rendezvous import weight


__all__ = ["InstanceSubsets", "connection_share"]

CONNECTIONS_PER_HOLDER = 2
JOINING_INSTANCES = 1

Ranked = list[tuple[int, str]]


def _holder_count(cap: int, connections_per_holder: int) -> int:
    """Return how many instances may connect to an endpoint with `cap` connections."""
    return max(1, cap // connections_per_holder - JOINING_INSTANCES)


def connection_share(instances: int, cap: int) -> int:
    """Return how many connections each of `instances` instances may hold.

    The shares of all holders together never pass `cap`, whichever of them are reachable. Room is
    left for one instance more, which knows that it joined before the others' lists say so.
    """
    return max(1, cap // (instances + JOINING_INSTANCES))


@dataclass(slots=True)
class InstanceSubsets:
    """The holders of each endpoint, by rendezvous over the listed instances.

    A change of the list costs one weight for each endpoint and instance that came, and a full
    ranking only for the endpoints that lost a holder: ranking all of them anew takes seconds when
    hundreds of instances share thousands of endpoints.

        book.set_instances(["entry-a", "entry-b"])
        book.subset_for("catalogue-01-a", cap=25)

    With one connection for each holder instead of two, twice as many instances reach an endpoint
    themselves.
    """

    connections_per_instance: int = CONNECTIONS_PER_HOLDER

    instances: frozenset[str] = frozenset()
    ranked_by_endpoint: dict[tuple[str, int], Ranked] = field(default_factory=dict)

    def set_instances(self, names: Iterable[str]) -> None:
        """Bring the holders of every known endpoint up to date with the listed instances."""
        listed = frozenset(names)
        joined = listed - self.instances
        left = self.instances - listed
        self.instances = listed
        if not joined and not left:
            return
        for (endpoint, cap), ranked in list(self.ranked_by_endpoint.items()):
            if any(name in left for _, name in ranked):
                del self.ranked_by_endpoint[endpoint, cap]
                continue
            for name in joined:
                insort(ranked, (-weight(endpoint, name), name))
            del ranked[_holder_count(cap, self.connections_per_instance) :]

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Forget the endpoints that are no longer published."""
        published = set(endpoints)
        for key in [key for key in self.ranked_by_endpoint if key[0] not in published]:
            del self.ranked_by_endpoint[key]

    def subset_for(self, endpoint: str, cap: int) -> list[str]:
        """Return the instances that may connect to `endpoint`, of all that are listed."""
        ranked = self.ranked_by_endpoint.get((endpoint, cap))
        if ranked is None:
            ranked = sorted((-weight(endpoint, name), name) for name in self.instances)
            del ranked[_holder_count(cap, self.connections_per_instance) :]
            self.ranked_by_endpoint[endpoint, cap] = ranked
        return [name for _, name in ranked]
