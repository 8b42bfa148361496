"""Builds the objects to publish for a trial: from its plan and the addresses of its stand-ins."""

from collections.abc import Mapping, Sequence
from typing import Any

from radishmount.publication import KeyRange, Part, Shard
from radishmount.trial._plan import CollectionPlan, FaultKind, FaultPlan, RegionPlan, TrialPlan


__all__ = ["objects_of", "parts_of", "shards_of"]

KEY_DIGITS = 4


def parts_of(collection: CollectionPlan) -> list[Part]:
    """Return the parts of a collection, in key order; every shard begins at the start of a part."""
    count = len(collection.services) * collection.parts_per_shard
    bounds = ["", *[_key(index) for index in range(1, count)], None]
    return [
        Part(f"{collection.name}-part-{index}", KeyRange(bounds[index] or "", bounds[index + 1]))
        for index in range(count)
    ]


def shards_of(plan: TrialPlan, repartitions: Sequence[FaultPlan] = ()) -> list[Shard]:
    """Return the shards of all index versions after the faults in `repartitions` have run."""
    shards: list[Shard] = []
    for collection in plan.region.collections:
        shards.extend(_initial_shards(collection))
    for fault in repartitions:
        if fault.kind is FaultKind.REPARTITION:
            shards = _split_shard(shards, fault)
    return shards


def objects_of(
    plan: TrialPlan, address_by_endpoint: Mapping[str, str], repartitions: Sequence[FaultPlan] = ()
) -> list[dict[str, Any]]:
    """Return the objects to publish, after the faults in `repartitions` have run."""
    region = plan.region
    objects: list[dict[str, Any]] = []
    for name in region.data_centres:
        objects.append({"kind": "data-centre", "name": name, "region": "trial"})
    for service in region.services:
        objects.append(
            {
                "kind": "service",
                "name": service.name,
                "slots": service.slots,
                "connections": service.connections,
                "connect_time": f"{service.connect_ms:g}ms",
                "endpoints": _endpoint_objects(
                    region, service.endpoint_names(), address_by_endpoint
                ),
            }
        )
    for collection in region.collections:
        parts = [
            {"name": part.name, "keys": _keys_object(part.keys)} for part in parts_of(collection)
        ]
        objects.append({"kind": "collection", "name": collection.name, "parts": parts})
    objects.extend(_shard_object(shard) for shard in shards_of(plan, repartitions))
    objects.extend(_rule_objects(plan))
    return objects


def _endpoint_objects(
    region: RegionPlan, names: Sequence[str], address_by_endpoint: Mapping[str, str]
) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "data_centre": region.data_centre_of(index),
            "address": address_by_endpoint[name],
        }
        for index, name in enumerate(names)
    ]


def _rule_objects(plan: TrialPlan) -> list[dict[str, Any]]:
    objects: list[dict[str, Any]] = []
    rules_by_caller: dict[str, list[str]] = {}
    data_centre_by_caller: dict[str, str] = {}
    for load in plan.loads:
        name = f"{load.caller}-{load.target}"
        rules = rules_by_caller.setdefault(load.caller, [])
        data_centre_by_caller[load.caller] = load.data_centre
        if name in rules:
            continue
        rules.append(name)
        objects.append(
            {
                "kind": "rule",
                "name": name,
                "target": load.target,
                "prefer": load.prefer,
                "deadline": f"{load.deadline_ms:g}ms",
                "hedge_ratio": load.hedge_ratio,
                "quota": f"{load.quota_per_s:g}/s",
                "priority": load.priority,
                "idempotent": load.idempotent,
            }
        )
    for caller, rules in rules_by_caller.items():
        data_centre = data_centre_by_caller[caller]
        objects.append(
            {"kind": "caller", "name": caller, "data_centre": data_centre, "rules": rules}
        )
    return objects


def _initial_shards(collection: CollectionPlan) -> list[Shard]:
    parts = parts_of(collection)
    width = collection.parts_per_shard
    shards = []
    for index, service in enumerate(collection.services):
        shard_parts = parts[index * width : (index + 1) * width]
        keys = KeyRange(shard_parts[0].keys.low, shard_parts[-1].keys.high)
        name = f"{collection.name}-shard-{index + 1}"
        shards.append(Shard(name, collection.name, service, keys))
    return shards


def _split_shard(shards: Sequence[Shard], fault: FaultPlan) -> list[Shard]:
    """Return `shards` with the shard of `fault` split in two as of the index version of `fault`."""
    result = []
    for shard in shards:
        if shard.name != fault.shard:
            result.append(shard)
            continue
        collection, service, low, high = shard.collection, shard.service, *_range_bounds(shard.keys)
        middle = f"{low}5"
        until = fault.version
        result.append(Shard(shard.name, collection, service, shard.keys, shard.since, until))
        lower, upper = KeyRange(low, middle), KeyRange(middle, high)
        name = f"{shard.name}-v{until}"
        result.append(Shard(f"{name}-low", collection, service, lower, until))
        result.append(Shard(f"{name}-high", collection, fault.to_service, upper, until))
    return result


def _range_bounds(keys: KeyRange) -> tuple[str, str | None]:
    return keys.low, keys.high


def _shard_object(shard: Shard) -> dict[str, Any]:
    content: dict[str, Any] = {
        "kind": "shard",
        "name": shard.name,
        "collection": shard.collection,
        "service": shard.service,
        "keys": _keys_object(shard.keys),
        "since": shard.since,
    }
    if shard.until is not None:
        content["until"] = shard.until
    return content


def _keys_object(keys: KeyRange) -> dict[str, str | None]:
    return {"from": keys.low, "to": keys.high}


def _key(index: int) -> str:
    return f"{index:0{KEY_DIGITS}d}"
