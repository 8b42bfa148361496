"""The answer to callers that ask which addresses to use."""

from dataclasses import dataclass

from radishmount.fleet._fleet import Fleet
from radishmount.fleet._instance import Instance
from radishmount.rendezvous import rank


__all__ = ["ADDRESSES_VALID_FOR_MS", "AddressAnswer", "choose_addresses"]

ANSWERED_ADDRESSES = 4
ADDRESSES_VALID_FOR_MS = 5_000
LOAD_STEP = 0.25


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Instances in the order in which a caller tries them, good for `valid_for_ms`."""

    instances: tuple[Instance, ...]
    valid_for_ms: int = ADDRESSES_VALID_FOR_MS


def choose_addresses(fleet: Fleet, caller_name: str, data_centre: str) -> AddressAnswer:
    """Return addresses for a caller: its own data centre first, then at least one other.

    Instances that leave are not among them. Those that are suspected or overloaded come only
    after all others, as the last resort of a caller that reaches nobody else. The order within a
    data centre is by steps of the load, then by rendezvous on the caller, so that callers spread.
    """
    names = [name for name in fleet.by_name if fleet.accepts_work(name)]
    ordered = [fleet.by_name[name] for name in _by_load(fleet, rank(caller_name, names))]
    fit = [instance for instance in ordered if fleet.is_healthy(instance.name)]
    unfit = [instance for instance in ordered if not fleet.is_healthy(instance.name)]
    own = [instance for instance in fit if instance.data_centre == data_centre]
    others = [instance for instance in fit if instance.data_centre != data_centre]
    kept_own = own[: ANSWERED_ADDRESSES - min(1, len(others))]
    chosen = [*kept_own, *others, *unfit][:ANSWERED_ADDRESSES]
    return AddressAnswer(instances=tuple(_with_two_data_centres(chosen, unfit)))


def _by_load(fleet: Fleet, names: list[str]) -> list[str]:
    """Return `names` with the less loaded first; the order within a step of load stays."""
    return sorted(names, key=lambda name: int(fleet.load_of(name) / LOAD_STEP))


def _with_two_data_centres(chosen: list[Instance], unfit: list[Instance]) -> list[Instance]:
    """Put an unfit instance of another data centre last if all the others are of one."""
    if len({instance.data_centre for instance in chosen}) != 1:
        return chosen
    for instance in unfit:
        if instance.data_centre != chosen[0].data_centre:
            return [*chosen[: ANSWERED_ADDRESSES - 1], instance]
    return chosen
