"""The data centres that hold replicas of the shards which the routes of a host fan out to."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from radishmount.audit import AuditTrail
from radishmount.publication._publication import EMPTY_PUBLICATION, Publication
from radishmount.routes import EMPTY_ROUTES, RouteTable


__all__ = ["ReplicaPlacement"]

# Shares of a host's shards. Between both, a data centre keeps its state, so that endpoints which
# restart one after the other do not send callers back and forth.
LACKING_SHARE = 0.25  # below this, nearly every sub-request would leave the data centre
HOLDING_SHARE = 0.5


@dataclass(slots=True)
class HostReplicas:
    """Which data centres hold enough replicas of one host's `shards`, as of one publication.

    Callers stay in the data centres of `sufficient`, and those of all others may be sent to the
    ones of `holding`.
    """

    shards: frozenset[str]
    publication: Publication = EMPTY_PUBLICATION
    evacuated: frozenset[str] = frozenset()
    sufficient: frozenset[str] = frozenset()
    holding: frozenset[str] = frozenset()

    def update(self, share_by_data_centre: Mapping[str, float]) -> bool:
        """Take the shares of shards with a replica there; return whether anything changes."""
        sufficient, holding = set(), set()
        for data_centre, share in share_by_data_centre.items():
            if share >= (LACKING_SHARE if data_centre in self.holding else HOLDING_SHARE):
                holding.add(data_centre)
            was_sufficient = data_centre in self.sufficient or not self.holding
            if share >= (LACKING_SHARE if was_sufficient else HOLDING_SHARE):
                sufficient.add(data_centre)
        changed = (sufficient, holding) != (self.sufficient, self.holding)
        self.sufficient, self.holding = frozenset(sufficient), frozenset(holding)
        return changed


@dataclass(slots=True)
class ReplicaPlacement:
    """Tells where the callers of a host are served without crossing data centres for each shard.

    A search moves one reply for each shard to the instance that runs it, and one merged answer
    from there to the caller. So a caller whose data centre has hardly any of the replicas is
    better served by an instance beside them. What counts is which endpoints are published, not
    their health, which changes from moment to moment.

        placement.data_centres_for("shop.example", "milano")  # empty: the caller's own one
    """

    audit: AuditTrail
    publication: Publication = EMPTY_PUBLICATION
    evacuated: frozenset[str] = frozenset()
    indexed_routes: RouteTable = EMPTY_ROUTES
    replicas_by_host: dict[str, HostReplicas] = field(default_factory=dict)

    def apply(self, publication: Publication, evacuated: Collection[str] = ()) -> None:
        """Take a publication with its listed endpoints, and the data centres that are evacuated.

        The hosts are looked at again when they are next asked for.
        """
        self.publication = publication
        self.evacuated = frozenset(evacuated)
        if publication.routes is not self.indexed_routes:
            self._index_routes(publication.routes)

    def data_centres_for(self, host: str, data_centre: str) -> frozenset[str]:
        """Return the data centres to which callers in `data_centre` are sent.

        Empty if they are served in their own one: the host's routes go to single services, there
        are enough replicas, or no data centre has more.
        """
        replicas = self.replicas_by_host.get(host)
        if replicas is None:
            return frozenset()
        is_current = (
            replicas.publication is self.publication and replicas.evacuated == self.evacuated
        )
        if not is_current:
            self._update(host, replicas)
        return frozenset() if data_centre in replicas.sufficient else replicas.holding

    def count_sent_away(self, data_centre: str) -> int:
        """Return for how many of the hosts asked for callers in `data_centre` are sent away."""
        return sum(
            bool(replicas.holding) and data_centre not in replicas.sufficient
            for replicas in self.replicas_by_host.values()
        )

    def _index_routes(self, routes: RouteTable) -> None:
        """Collect the shards of each host. What is known of a host is kept with its shards."""
        shards_by_host: dict[str, set[str]] = {}
        for route in routes.routes_by_host_and_prefix.values():
            if route.shards:
                shards_by_host.setdefault(route.host, set()).update(route.shards)
        previous_by_host = self.replicas_by_host
        self.replicas_by_host = {}
        for host, shards in shards_by_host.items():
            previous = previous_by_host.get(host)
            if previous is None:
                previous = HostReplicas(frozenset(shards))
            previous.shards = frozenset(shards)
            self.replicas_by_host[host] = previous
        self.indexed_routes = routes

    def _update(self, host: str, replicas: HostReplicas) -> None:
        count_by_data_centre: dict[str, int] = {}
        total = 0
        for name in replicas.shards:
            service = self.publication.services_by_name.get(name)
            if service is None or not service.endpoints:
                continue  # shards that have not started yet are nowhere
            total += 1
            for data_centre in {endpoint.data_centre for endpoint in service.endpoints}:
                if data_centre not in self.evacuated:
                    count = count_by_data_centre.get(data_centre, 0)
                    count_by_data_centre[data_centre] = count + 1
        changed = replicas.update({dc: n / total for dc, n in count_by_data_centre.items()})
        replicas.publication, replicas.evacuated = self.publication, self.evacuated
        if not changed:
            return
        counts = ", ".join(f"{dc} {n}" for dc, n in sorted(count_by_data_centre.items()))
        self.audit.record(
            f"callers/{host}",
            f"served in {', '.join(sorted(replicas.sufficient)) or 'their own data centre'}",
            cause=f"replicas of {total} shards by data centre: {counts or 'none'}",
            version=self.publication.version,
        )
