"""The root of the aggregate: which requests go to endpoints that have too little room for all."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from random import Random

from radishmount.admission._demand import Demand, RoomRequest
from radishmount.admission._service_room import ServiceRoom
from radishmount.admission._shared_room import SharedRoom
from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.endpoints import Endpoint


__all__ = ["RoomAdmission", "RoomCause"]

EVALUATION_INTERVAL_MS = 50.0  # also bounds the cost for instances with many small requests
SHORT_INTERVAL_MS = 10.0  # while requests wait, as a queue may fill within tens of milliseconds
MAX_ADMITTED_BETWEEN = 8  # requests after which the room is evaluated before the interval ends
URGENCY_FACTOR = 0.5  # of the wait that the next more urgent kind may have
REPEAT_FACTOR = 0.5  # of the wait up to which first attempts are sent
MIN_ADMITTED_RATIO = 0.3  # of the ratio of all; callers need a quarter at least
HONOURED_RATIO = 1.0 / 3.0  # of the time left, which callers wait at most before they return
MAX_RETRY_STRETCH = 10.0
ROOM_AGAIN_AFTER_MS = 1_000.0  # without a refusal
FORGET_UNUSED_AFTER_MS = 60_000.0


class RoomCause(StrEnum):
    """Why a request is refused for want of room."""

    TIME = "would be late"
    RESERVED = "reserved"


@dataclass(frozen=True, slots=True)
class Shortage:
    """A wait that is longer than it may be for a request."""

    cause: str
    service: str
    wait_ms: float
    limit_ms: float


@dataclass(slots=True)
class RoomAdmission:
    """Admits requests at once, or refuses them at once as not run.

    While there are free slots, every request is admitted. When requests wait for slots, the wait
    that a request may have depends on its kind: the most urgent kind may wait for as long as it is
    on time, each less urgent kind for half as long as the kind before it. So the queue never grows
    to where a more urgent kind would be late, and all slots stay in use. `endpoints_of` returns the
    endpoints of a service.
    """

    endpoints_of: Callable[[str], Iterable[Endpoint]]
    clock: Clock
    random: Random
    counters: Counters
    audit: AuditTrail
    rooms_by_services: dict[tuple[str, ...], SharedRoom] = field(default_factory=dict)
    rooms_by_service: dict[str, ServiceRoom] = field(default_factory=dict)

    def admit(self, request: RoomRequest) -> Refusal | None:
        """Return why a request is refused, or none if it may be sent now."""
        now_ms = self.clock.now_ms()
        room = self._room_for(request.services, now_ms)
        if not room.waits:
            room.admitted_since_evaluation += 1
            return None
        demand = room.demand_for(request, now_ms)
        shortage = self._find_shortage(room, demand, request, now_ms)
        demand.count(admitted=shortage is None, now_ms=now_ms)
        if shortage is None:
            room.admitted_since_evaluation += 1
            return None
        return self._refuse(room, request, shortage, now_ms)

    def withholds_repeat(self, request: RoomRequest, service: str) -> bool:
        """Return whether a hedge or retry of `request` at `service` would take scarce room.

        Repeats stop at half of the wait that first attempts of the same kind may have.
        """
        now_ms = self.clock.now_ms()
        service_room = self.rooms_by_service.get(service)
        if service_room is None:
            return False
        if now_ms - service_room.evaluated_at_ms >= EVALUATION_INTERVAL_MS:
            service_room.evaluate(self.endpoints_of(service), now_ms)
        if service_room.wait_ms in (0.0, inf):
            return False
        room = self._room_for(request.services, now_ms)
        demand = room.demand_for(request, now_ms)
        limit_ms = room.wait_limit_ms(demand)
        for _, _, other_limit_ms in _wait_limits(room, demand, now_ms):
            limit_ms = min(limit_ms, other_limit_ms)
        return service_room.wait_ms > REPEAT_FACTOR * limit_ms

    def update(self) -> None:
        """Note which services have room again, and forget those that no request goes to."""
        now_ms = self.clock.now_ms()
        for room in list(self.rooms_by_services.values()):
            if (
                room.short_since_ms is not None
                and now_ms - room.refused_at_ms >= ROOM_AGAIN_AFTER_MS
            ):
                self._evaluate(room, now_ms)
                self._record_room_again(room, now_ms)
            if now_ms - room.used_at_ms >= FORGET_UNUSED_AFTER_MS:
                self._forget(room)

    def short_count(self) -> int:
        """Return how many sets of services have refused requests lately."""
        return sum(room.short_since_ms is not None for room in self.rooms_by_services.values())

    def _room_for(self, services: tuple[str, ...], now_ms: float) -> SharedRoom:
        room = self.rooms_by_services.get(services)
        if room is None:
            room = self._add_room(services)
        room.used_at_ms = now_ms
        self._evaluate_if_due(room, now_ms)
        return room

    def _evaluate_if_due(self, room: SharedRoom, now_ms: float) -> None:
        interval_ms = SHORT_INTERVAL_MS if room.waits else EVALUATION_INTERVAL_MS
        if (
            now_ms - room.evaluated_at_ms >= interval_ms
            or room.admitted_since_evaluation >= MAX_ADMITTED_BETWEEN
        ):
            self._evaluate(room, now_ms)

    def _add_room(self, services: tuple[str, ...]) -> SharedRoom:
        room = SharedRoom(services, frozenset(services))
        for other in self.rooms_by_services.values():
            if not room.service_names.isdisjoint(other.services):
                other.competitors.append(room)
                room.competitors.append(other)
        room.competitors.append(room)
        self.rooms_by_services[services] = room
        return room

    def _evaluate(self, room: SharedRoom, now_ms: float) -> None:
        room.evaluated_at_ms = now_ms
        room.admitted_since_evaluation = 0
        room.waits = []
        room.unloaded_ms = 0.0
        room.full_wait_ms = inf
        for service in room.services:
            service_room = self.rooms_by_service.get(service)
            if service_room is None:
                service_room = self.rooms_by_service[service] = ServiceRoom()
            if service_room.evaluated_at_ms < now_ms:
                service_room.evaluate(self.endpoints_of(service), now_ms)
            if service_room.wait_ms <= 0.0:
                continue
            room.waits.append((service_room.wait_ms, service))
            room.unloaded_ms = max(room.unloaded_ms, service_room.unloaded_ms or 0.0)
            room.full_wait_ms = min(room.full_wait_ms, service_room.full_wait_ms)
        room.waits.sort(reverse=True)

    def _find_shortage(
        self, room: SharedRoom, demand: Demand, request: RoomRequest, now_ms: float
    ) -> Shortage | None:
        """Return why there is no room for a request, or none if there is."""
        wait_ms, service = room.wait_for(demand)
        if _is_below_least_share(room, demand, now_ms):
            return None
        # The work of this kind may be far shorter than that of the others, so only the wait counts.
        time_left_ms = max(0.0, request.deadline_at_ms - now_ms)
        if wait_ms > time_left_ms:
            return Shortage(RoomCause.TIME, service, wait_ms, time_left_ms)
        if wait_ms > demand.wait_limit_ms(room.unloaded_ms):
            limit_ms = demand.wait_limit_ms(room.unloaded_ms)
            shortage = Shortage(RoomCause.TIME, service, wait_ms, limit_ms)
        else:
            shortage = None
        for other_room, other, limit_ms in _wait_limits(room, demand, now_ms):
            self._evaluate_if_due(other_room, now_ms)
            wait_ms, service = other_room.wait_caused_by(room, other)
            if wait_ms <= limit_ms:
                continue
            shortage = Shortage(RoomCause.RESERVED, service, wait_ms, limit_ms)
            if other.priority < demand.priority and wait_ms > other.wait_limit_ms(
                other_room.unloaded_ms
            ):
                return shortage
        return shortage

    def _refuse(
        self, room: SharedRoom, request: RoomRequest, shortage: Shortage, now_ms: float
    ) -> Refusal:
        retry_after_ms = self._retry_after_ms(room, request, shortage, now_ms)
        detail = (
            f"{shortage.cause}, priority {request.priority}, {shortage.service}: "
            f"wait {shortage.wait_ms:.0f} ms, at most {shortage.limit_ms:.0f} ms"
        )
        self.counters.add("refused_for_room", f"priority {request.priority}, {shortage.cause}")
        room.refused_at_ms = now_ms
        room.refused_count += 1
        if room.short_since_ms is None:
            room.short_since_ms = now_ms
            self.counters.add("room_changes", "short")
            self.audit.record(f"room/{shortage.service}", "short of room", cause=detail)
        return Refusal(Code.NO_ROOM, detail=detail, retry_after_ms=retry_after_ms)

    def _retry_after_ms(
        self, room: SharedRoom, request: RoomRequest, shortage: Shortage, now_ms: float
    ) -> float:
        """Return when to come back: once the queue is short enough, later the more are refused.

        The time is spread, so that callers who were refused together do not come back together,
        and is no longer than callers wait.
        """
        offered, admitted = _count_recent(room, now_ms)
        stretch = min(MAX_RETRY_STRETCH, offered / max(1.0, admitted))
        excess_ms = max(room.unloaded_ms, shortage.wait_ms - shortage.limit_ms)
        longest_ms = HONOURED_RATIO * max(0.0, request.deadline_at_ms - now_ms)
        latest_ms = min(longest_ms, 2.0 * stretch * excess_ms)
        return self.random.uniform(0.5, 1.0) * latest_ms

    def _record_room_again(self, room: SharedRoom, now_ms: float) -> None:
        short_for_ms = room.refused_at_ms - (room.short_since_ms or now_ms)
        longest_ms, service = room.waits[0] if room.waits else (0.0, room.services[0])
        cause = (
            f"{room.refused_count} refused in {short_for_ms:.0f} ms, wait now {longest_ms:.0f} ms"
        )
        room.short_since_ms = None
        room.refused_count = 0
        self.counters.add("room_changes", "room again")
        self.audit.record(f"room/{service}", "has room again", cause=cause)

    def _forget(self, room: SharedRoom) -> None:
        del self.rooms_by_services[room.services]
        for other in room.competitors:
            if other is not room:
                other.competitors.remove(room)
        used = {service for services in self.rooms_by_services for service in services}
        for service in room.services:
            if service not in used:
                self.rooms_by_service.pop(service, None)


def _wait_limits(
    room: SharedRoom, demand: Demand, now_ms: float
) -> list[tuple[SharedRoom, Demand, float]]:
    """Return how long the other kinds, if they are no less urgent, may wait because of this one.

    That is as long as they are neither late nor shed, and half as long for each step in priority.
    """
    others = [
        (other_room, other)
        for other_room, other in room.competing_demands(now_ms)
        if other is not demand and other.priority <= demand.priority
    ]
    more_urgent = {other.priority for _, other in others} - {demand.priority}
    priorities = [demand.priority, *sorted(more_urgent, reverse=True)]
    limits = []
    for other_room, other in others:
        steps = priorities.index(other.priority)
        limit_ms = other_room.wait_limit_ms(other) * URGENCY_FACTOR**steps
        limits.append((other_room, other, limit_ms))
    return limits


def _is_below_least_share(room: SharedRoom, demand: Demand, now_ms: float) -> bool:
    """Return whether a kind is admitted far less often than all that compete with it."""
    offered, admitted = _count_recent(room, now_ms)
    return demand.admitted * offered <= MIN_ADMITTED_RATIO * admitted * demand.offered


def _count_recent(room: SharedRoom, now_ms: float) -> tuple[float, float]:
    """Return how many requests competed for room lately, and how many of them were admitted."""
    offered = admitted = 0.0
    for _, demand in room.competing_demands(now_ms):
        demand.fade(now_ms)
        offered += demand.offered
        admitted += demand.admitted
    return (offered, admitted)
