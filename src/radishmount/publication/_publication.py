"""One version of all published objects, the root of their aggregate."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal
from radishmount.publication._objects import (
    Caller,
    Collection,
    DataCentre,
    EndpointSpec,
    Evacuation,
    Rule,
    Service,
    Shard,
)
from radishmount.routes import DEFAULT_CALLER_LIMITS, EMPTY_ROUTES, CallerLimits, RouteTable


__all__ = ["EMPTY_PUBLICATION", "Publication"]


@dataclass(frozen=True)
class Publication:
    """One version of all published objects, by name. It is immutable; a new version replaces it."""

    version: int
    digest: str
    data_centres_by_name: Mapping[str, DataCentre] = field(default_factory=dict)
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    collections_by_name: Mapping[str, Collection] = field(default_factory=dict)
    shards_by_name: Mapping[str, Shard] = field(default_factory=dict)
    rules_by_name: Mapping[str, Rule] = field(default_factory=dict)
    callers_by_name: Mapping[str, Caller] = field(default_factory=dict)
    evacuations_by_name: Mapping[str, Evacuation] = field(default_factory=dict)
    routes: RouteTable = EMPTY_ROUTES
    caller_limits: CallerLimits = DEFAULT_CALLER_LIMITS

    @cached_property
    def endpoints_by_name(self) -> Mapping[str, EndpointSpec]:
        """Return the endpoints of all services."""
        by_name = {}
        for service in self.services_by_name.values():
            for endpoint in service.endpoints:
                by_name[endpoint.name] = endpoint
        return by_name

    @cached_property
    def services_by_endpoint(self) -> Mapping[str, Service]:
        """Return the service of each endpoint."""
        by_endpoint = {}
        for service in self.services_by_name.values():
            for endpoint in service.endpoints:
                by_endpoint[endpoint.name] = service
        return by_endpoint

    @cached_property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres to whose endpoints nothing more may be sent."""
        return frozenset(item.data_centre for item in self.evacuations_by_name.values())

    @cached_property
    def shards_by_collection(self) -> Mapping[str, tuple[Shard, ...]]:
        """Return the shards of each collection, of all index versions, sorted by low key."""
        lists_by_collection: dict[str, list[Shard]] = {
            name: [] for name in self.collections_by_name
        }
        for shard in self.shards_by_name.values():
            lists_by_collection[shard.collection].append(shard)
        return {
            name: tuple(sorted(shards, key=lambda shard: (shard.keys.low, shard.since)))
            for name, shards in lists_by_collection.items()
        }

    def rule_for(self, caller_name: str, target: str) -> Result[Rule, Refusal]:
        """Return the rule that applies to requests of the caller to `target`."""
        caller = self.callers_by_name.get(caller_name)
        if caller is None:
            return Err(Refusal(Code.UNKNOWN_CALLER, detail=caller_name))
        for rule in self._rules(caller.rules):
            if rule.target == target:
                return Ok(rule)
        return Err(Refusal(Code.NO_RULE, detail=f"{caller_name} to {target}"))

    def may_replace(self, active: "Publication") -> Result[None, Refusal]:
        """Return ok if this version may replace `active`.

        It must be a higher version, or the same version with the same digest.
        """
        if self.version < active.version:
            return Err(Refusal(Code.VERSION_NOT_GROWING, detail=f"version {self.version}"))
        if self.version == active.version and self.digest != active.digest:
            return Err(Refusal(Code.DIGEST_CONFLICT, detail=f"version {self.version}"))
        return Ok(None)

    def _rules(self, names: Iterable[str]) -> Iterable[Rule]:
        for name in names:
            yield self.rules_by_name[name]


EMPTY_PUBLICATION = Publication(version=0, digest="")
