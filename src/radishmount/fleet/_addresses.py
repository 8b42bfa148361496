"""Chooses the instance addresses that a caller is given."""

from dataclasses import dataclass

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._instance import Instance
from radishmount.rendezvous import rank


__all__ = ["ADDRESSES_VALID_FOR_MS", "AddressAnswer", "choose_addresses"]

ADDRESSES_PER_ANSWER = 4
ADDRESSES_VALID_FOR_MS = 5_000
LOAD_BUCKET_SIZE = 0.25


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Instances in the order in which a caller tries them, valid for `valid_for_ms`."""

    instances: tuple[Instance, ...]
    valid_for_ms: int = ADDRESSES_VALID_FOR_MS


def choose_addresses(fleet: Fleet, caller_name: str, data_centre: str) -> AddressAnswer:
    """Return addresses for a caller: its own data centre first, then at least one other.

    Leaving instances are excluded. Suspected and overloaded instances come after all others, as a
    last resort for a caller that can reach no other instance. Within a data centre the order is by
    load in buckets of `LOAD_BUCKET_SIZE`, then by rendezvous hashing on the caller's name, so that
    callers are distributed over the instances.
    """
    names = [name for name in fleet.by_name if fleet.accepts_work(name)]
    ordered = [fleet.by_name[name] for name in _sort_by_load(fleet, rank(caller_name, names))]
    healthy = [instance for instance in ordered if fleet.is_healthy(instance.name)]
    unhealthy = [instance for instance in ordered if not fleet.is_healthy(instance.name)]
    own = [instance for instance in healthy if instance.data_centre == data_centre]
    others = [instance for instance in healthy if instance.data_centre != data_centre]
    kept_own = own[: ADDRESSES_PER_ANSWER - min(1, len(others))]
    chosen = [*kept_own, *others, *unhealthy][:ADDRESSES_PER_ANSWER]
    return AddressAnswer(instances=tuple(_ensure_two_data_centres(chosen, unhealthy)))


def _sort_by_load(fleet: Fleet, names: list[str]) -> list[str]:
    """Sort by load bucket, least loaded first; the order within a bucket is kept."""
    return sorted(names, key=lambda name: int(fleet.load_of(name) / LOAD_BUCKET_SIZE))


def _ensure_two_data_centres(chosen: list[Instance], unhealthy: list[Instance]) -> list[Instance]:
    """Put an unhealthy instance of another data centre last if all are in the same one."""
    if len({instance.data_centre for instance in chosen}) != 1:
        return chosen
    for instance in unhealthy:
        if instance.data_centre != chosen[0].data_centre:
            return [*chosen[: ADDRESSES_PER_ANSWER - 1], instance]
    return chosen
