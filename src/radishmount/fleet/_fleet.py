"""The root of the fleet aggregate: the listed instances and what is known of each."""

from dataclasses import dataclass, field

from radishmount.fleet._instance import Instance, InstanceState
from radishmount.fleet._member_table import MemberTable
from radishmount.fleet._messages import MemberState
from radishmount.rendezvous import rank


__all__ = ["Fleet", "InstanceList"]


@dataclass(frozen=True, slots=True)
class InstanceList:
    """One version of the instance list, with the endpoints that are leaving."""

    version: int
    instances: tuple[Instance, ...]
    leaving_endpoints: frozenset[str] = frozenset()


@dataclass(slots=True)
class Fleet:
    """The instances as this instance, `own_name`, sees them.

    `watch_order` has the names in its data centre in the order in which they become watchers of the
    platform; it is kept for the list of version `watch_order_version`.
    """

    own_name: str
    own_data_centre: str
    members: MemberTable
    instance_list: InstanceList = InstanceList(0, ())
    by_name: dict[str, Instance] = field(default_factory=dict)
    watch_order: tuple[str, ...] = ()
    watch_order_version: int = -1

    def apply_list(self, instance_list: InstanceList) -> bool:
        """Replace the present list by a newer one; return whether it was newer."""
        if instance_list.version <= self.list_version:
            return False
        self.instance_list = instance_list
        self.by_name = {instance.name: instance for instance in instance_list.instances}
        return True

    @property
    def list_version(self) -> int:
        """Return the version of the current list, zero before the first."""
        return self.instance_list.version

    @property
    def listed_names(self) -> list[str]:
        """Return the names of all listed instances and this one, reachable or not.

        Work and budgets are divided over these.
        """
        return sorted({*self.by_name, self.own_name})

    def ranked_for_watch(self) -> tuple[str, ...]:
        """Return the names in the own data centre, those first that are to watch the platform.

        Ranking takes a hash for each name, and watchers are asked for several times a second.
        """
        if self.watch_order_version != self.list_version:
            near = {name for name in self.by_name if self.is_near(name)}
            self.watch_order = tuple(rank("platform watch", near | {self.own_name}))
            self.watch_order_version = self.list_version
        return self.watch_order

    def is_near(self, name: str) -> bool:
        """Return whether the instance `name` is listed in the data centre of this one."""
        instance = self.by_name.get(name)
        return instance is not None and instance.data_centre == self.own_data_centre

    def accepts_work(self, name: str) -> bool:
        """Return whether callers may be sent to the instance `name`."""
        instance = self.by_name.get(name)
        if instance is None or instance.state is InstanceState.LEAVING:
            return False
        return self.members.state_of(name) is not MemberState.LEAVING

    def is_healthy(self, name: str) -> bool:
        """Return whether the instance is neither suspected nor overloaded nor leaving."""
        return self.members.state_of(name) in (None, MemberState.LIVE)

    def load_of(self, name: str) -> float:
        """Return the last load that the instance reported, zero if none."""
        member = self.members.by_name.get(name)
        return 0.0 if member is None else member.load
