"""The answer to callers that ask which addresses to use."""

from dataclasses import dataclass

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._instance import Instance
from radishmount.rendezvous import rank


__all__ = ["AddressAnswer", "choose_addresses"]

ANSWERED_ADDRESSES = 4
ADDRESSES_VALID_FOR_MS = 5_000


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Instances in the order in which a caller tries them, good for `valid_for_ms`."""

    instances: tuple[Instance, ...]
    valid_for_ms: int = ADDRESSES_VALID_FOR_MS


def choose_addresses(fleet: Fleet, caller_name: str, data_centre: str) -> AddressAnswer:
    """Return addresses for a caller: its own data centre first, then at least one other.

    The order within a data centre is by rendezvous on the caller, so that callers spread.
    """
    own = _ranked(fleet, caller_name, fleet.instances_by_data_centre.get(data_centre, []))
    others = [i for i in fleet.takes_work() if i.data_centre != data_centre]
    ranked_others = _ranked(fleet, caller_name, others)
    kept_own = own[: ANSWERED_ADDRESSES - min(1, len(ranked_others))]
    kept_others = ranked_others[: ANSWERED_ADDRESSES - len(kept_own)]
    return AddressAnswer(instances=(*kept_own, *kept_others))


def _ranked(fleet: Fleet, caller_name: str, instances: list[Instance]) -> list[Instance]:
    names = rank(caller_name, (instance.name for instance in instances))
    return [fleet.by_name[name] for name in names]
