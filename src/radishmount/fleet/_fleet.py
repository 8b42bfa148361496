"""The root of the aggregate: the instances that are listed, and what is known of each."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._members import Members


__all__ = ["Fleet", "InstanceList"]


@dataclass(frozen=True, slots=True)
class InstanceList:
    """One version of the platform's list: entry instances, and endpoints that are leaving."""

    version: int
    instances: tuple[Instance, ...]
    leaving_endpoints: frozenset[str] = frozenset()


@dataclass(slots=True)
class Fleet:
    """The instances by name, as this instance sees them. `own_name` is this one."""

    own_name: str
    own_data_centre: str
    members: Members
    list_version: int = 0
    by_name: dict[str, Instance] = field(default_factory=dict)
    leaving: bool = False

    def take_list(self, instance_list: InstanceList) -> bool:
        """Take a newer list in place of the present one; tell whether it was newer."""
        if instance_list.version <= self.list_version:
            return False
        self.list_version = instance_list.version
        self.by_name = {instance.name: instance for instance in instance_list.instances}
        return True

    @property
    def listed_names(self) -> list[str]:
        """Return the names over which duties are divided: listed, whether reachable or not."""
        return sorted({*self.by_name, self.own_name})

    def takes_work(self) -> Iterable[Instance]:
        """Yield the instances that callers may be sent to."""
        for instance in self.by_name.values():
            if instance.state is InstanceState.LEAVING:
                continue
            if instance.name == self.own_name and self.leaving:
                continue
            yield instance

    @property
    def instances_by_data_centre(self) -> Mapping[str, list[Instance]]:
        """Return the instances that take work, by data centre."""
        by_data_centre: dict[str, list[Instance]] = {}
        for instance in self.takes_work():
            by_data_centre.setdefault(instance.data_centre, []).append(instance)
        return by_data_centre
