"""Subsetting: which instances may connect to an endpoint, and with how many connections each."""

from bisect import insort
from collections.abc import Iterable
from dataclasses import dataclass, field

from radishmount.rendezvous import weight


__all__ = ["InstanceSubsets", "connection_share"]

CONNECTIONS_PER_INSTANCE = 2
JOINING_INSTANCES = 1  # one that joins may connect before the others list it

RankedInstances = list[tuple[int, str]]


def _subset_size(cap: int, connections_per_instance: int) -> int:
    """Return how many instances may connect to an endpoint with `cap` connections."""
    return max(1, cap // connections_per_instance - JOINING_INSTANCES)


def connection_share(instances: int, cap: int) -> int:
    """Return how many connections each of `instances` instances may open.

    The shares of a subset together never exceed `cap`, whichever instances are reachable. Room is
    left for one more instance, because an instance that joins may connect before the lists of the
    others name it.
    """
    return max(1, cap // (instances + JOINING_INSTANCES))


@dataclass(slots=True)
class InstanceSubsets:
    """The subset of instances that may connect to each endpoint, by rendezvous hashing.

    When the list of instances changes, one weight is computed for each known endpoint and each
    instance that joined. All instances are ranked again only for endpoints that lost one of their
    subset: for all endpoints that takes seconds where hundreds of instances share thousands of
    endpoints.

        subsets.set_instances(["entry-a", "entry-b"])
        subsets.subset_for("catalogue-01-a", cap=25)

    With one connection for each instance instead of two, a subset is about twice as large, so twice
    as many instances reach an endpoint directly.
    """

    connections_per_instance: int = CONNECTIONS_PER_INSTANCE

    instances: frozenset[str] = frozenset()
    ranked_by_endpoint_and_cap: dict[tuple[str, int], RankedInstances] = field(default_factory=dict)

    def set_instances(self, names: Iterable[str]) -> None:
        """Replace the listed instances, and update the subset of every known endpoint."""
        listed = frozenset(names)
        joined = listed - self.instances
        left = self.instances - listed
        self.instances = listed
        if not joined and not left:
            return
        for (endpoint, cap), ranked in list(self.ranked_by_endpoint_and_cap.items()):
            if any(name in left for _, name in ranked):
                del self.ranked_by_endpoint_and_cap[endpoint, cap]
                continue
            for name in joined:
                insort(ranked, (-weight(endpoint, name), name))
            del ranked[_subset_size(cap, self.connections_per_instance) :]

    def retain_endpoints(self, endpoints: Iterable[str]) -> None:
        """Drop the subsets of all endpoints but `endpoints`."""
        published = set(endpoints)
        for key in [key for key in self.ranked_by_endpoint_and_cap if key[0] not in published]:
            del self.ranked_by_endpoint_and_cap[key]

    def subset_for(self, endpoint: str, cap: int) -> list[str]:
        """Return the listed instances that may connect to `endpoint`, the highest ranked first."""
        ranked = self.ranked_by_endpoint_and_cap.get((endpoint, cap))
        if ranked is None:
            ranked = sorted((-weight(endpoint, name), name) for name in self.instances)
            del ranked[_subset_size(cap, self.connections_per_instance) :]
            self.ranked_by_endpoint_and_cap[endpoint, cap] = ranked
        return [name for _, name in ranked]
