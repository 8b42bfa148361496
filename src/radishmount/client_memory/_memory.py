"""The one place that knows how much an instance holds for its clients."""

from dataclasses import dataclass, field

from radishmount.audit import AuditTrail
from radishmount.client_memory._limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    Port,
    divide_limits,
)
from radishmount.client_memory._port_account import PortAccount
from radishmount.clock import Clock
from radishmount.counters import Counters


__all__ = ["ClientMemory"]


@dataclass(slots=True)
class ClientMemory:
    """The accounts of all ports of one process, which divide its limits among them.

    memory = ClientMemory(clock, counters, audit, memory_bytes=200_000_000)
    account = memory.by_port[Port.CALLERS].open()
    """

    clock: Clock
    counters: Counters
    audit: AuditTrail
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_DESCRIPTORS
    by_port: dict[Port, PortAccount] = field(init=False)

    def __post_init__(self) -> None:
        limits_by_port = divide_limits(self.memory_bytes, self.max_descriptors)
        self.by_port = {
            port: PortAccount(port, limits, self.clock, self.counters, self.audit)
            for port, limits in limits_by_port.items()
        }

    def gauges(self) -> dict[str, float]:
        """Return what is held and how many connections are open, by port."""
        gauges = {}
        for port, account in self.by_port.items():
            gauges[f"client_memory_{port.value}_bytes"] = float(account.held_bytes)
            gauges[f"client_memory_{port.value}_budget_bytes"] = float(account.limits.budget_bytes)
            gauges[f"client_connections_{port.value}"] = float(account.open_count)
        for activity, held_bytes in self.by_port[Port.CALLERS].held_by_activity().items():
            gauges[f"client_memory_held_{activity.value}_bytes"] = float(held_bytes)
        return gauges
