"""In-memory peer streams on virtual time, with delays, partitions and lost frames."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from radishmount.border import (
    ENDPOINT_PEER_MODELS,
    ORDER_PEER_MODELS,
    pack_frame,
    register_peer_models,
    unpack_frame,
)
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import Frame, MemberTable, OpenPeer, PeerIdentity, Peers, PeerStream


FRAME_GAP_S = 1e-6  # between two frames of a stream

register_peer_models(*ORDER_PEER_MODELS, *ENDPOINT_PEER_MODELS)


class FakeStream:
    """One end of a stream between two instances."""

    def __init__(self, network: "FakeNetwork", own: str, peer: PeerIdentity) -> None:
        self.network = network
        self.own_name = own
        self.peer = peer
        self.inbox: asyncio.Queue[Result[Frame, Refusal]] = asyncio.Queue()
        self.other: FakeStream | None = None
        self.closed = False
        self.arrives_at_s = 0.0  # of the last frame that was sent

    def send(self, frame: Frame) -> Result[None, Refusal]:
        """Encode, decode and deliver the frame, unless the two ends are cut off."""
        if self.closed:
            return Err(Refusal(Code.PEER_UNREACHABLE))
        packed = pack_frame(frame).unwrap()
        self.network.sent_bytes_by_name[self.own_name] = self.network.sent_bytes_by_name.get(
            self.own_name, 0
        ) + len(packed)
        kind = type(frame.message).__name__
        counts = self.network.sent_frames_by_kind
        counts[kind] = counts.get(kind, 0) + 1
        if self.network.members_by_name[self.own_name].own_data_centre != self.peer.data_centre:
            crossing = self.network.crossing_frames_by_kind
            crossing[kind] = crossing.get(kind, 0) + 1
        assert self.other is not None
        if self.network.delivers(self.own_name, self.peer.name):
            self._deliver_later(self.other, unpack_frame(packed))
        return Ok(None)

    async def receive(self) -> Result[Frame, Refusal]:
        """Return the next frame."""
        return await self.inbox.get()

    async def close(self) -> None:
        """Close this end, and the other one unless it is cut off."""
        if self.closed:
            return
        self.closed = True
        self.inbox.put_nowait(Err(Refusal(Code.PEER_LOST)))
        assert self.other is not None
        if self.network.delivers(self.own_name, self.peer.name):
            self._deliver_later(self.other, Err(Refusal(Code.PEER_LOST)))

    def _deliver_later(self, end: "FakeStream", item: Result[Frame, Refusal]) -> None:
        def arrive() -> None:
            held = self.network.held_by_frozen_name.get(end.own_name)
            if held is not None:
                held.append(lambda: end.inbox.put_nowait(item))
                return
            end.inbox.put_nowait(item)

        if self.own_name in self.network.held_by_frozen_name:
            return
        loop = asyncio.get_running_loop()
        arrives_at_s = loop.time() + self.network.delay_ms / 1000.0
        if self.network.keeps_order:
            arrives_at_s = max(arrives_at_s, self.arrives_at_s + FRAME_GAP_S)
        self.arrives_at_s = arrives_at_s
        loop.call_at(arrives_at_s, arrive)


@dataclass
class FakeNetwork:
    """The instances by name, and which of them cannot reach each other.

    Timers of the same time have no order, so two frames that are sent at once may change places. A
    network that `keeps_order` delivers the frames of a stream one after the other, as TCP does.

    New streams between `cut_pairs` fail. Open streams between `silent_pairs` lose all frames; a new
    stream between the two works again.
    """

    delay_ms: float = 4.0
    keeps_order: bool = False
    accept_by_name: dict[str, Callable[[PeerStream], object]] = field(default_factory=dict)
    members_by_name: dict[str, MemberTable] = field(default_factory=dict)
    side_by_name: dict[str, int] = field(default_factory=dict)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    silent_pairs: set[frozenset[str]] = field(default_factory=set)
    down_names: set[str] = field(default_factory=set)
    sent_bytes_by_name: dict[str, int] = field(default_factory=dict)
    sent_frames_by_kind: dict[str, int] = field(default_factory=dict)
    crossing_frames_by_kind: dict[str, int] = field(default_factory=dict)
    opened_count: int = 0
    tasks: set[asyncio.Task[object]] = field(default_factory=set)
    held_by_frozen_name: dict[str, list[Callable[[], None]]] = field(default_factory=dict)

    async def stop(self) -> None:
        """Cancel the tasks of the streams that are still open."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def freeze(self, name: str) -> None:
        """Drop what `name` sends, and hold back what is sent to it."""
        self.held_by_frozen_name[name] = []

    def thaw(self, name: str) -> None:
        """Deliver to `name` what was held back."""
        for deliver in self.held_by_frozen_name.pop(name):
            deliver()

    def split(self, *sides: tuple[str, ...]) -> None:
        """Partition the network into `sides`."""
        for number, names in enumerate(sides):
            for name in names:
                self.side_by_name[name] = number

    def heal(self) -> None:
        """End all partitions."""
        self.side_by_name.clear()
        self.cut_pairs.clear()

    def can_connect(self, one: str, other: str) -> bool:
        """Return whether new streams between the two can be opened."""
        if {one, other} & self.down_names:
            return False
        if frozenset((one, other)) in self.cut_pairs:
            return False
        return self.side_by_name.get(one, 0) == self.side_by_name.get(other, 0)

    def delivers(self, one: str, other: str) -> bool:
        """Return whether open streams between the two deliver frames."""
        return self.can_connect(one, other) and frozenset((one, other)) not in self.silent_pairs

    def add(self, name: str, members: MemberTable, peers: Peers) -> None:
        """Add the instance `name` to the network."""
        self.members_by_name[name] = members
        self.accept_by_name[name] = lambda stream: self._spawn(peers.accept(stream))

    def open_peer_for(self, members: MemberTable, counters: Counters) -> OpenPeer:
        """Return the function by which one instance opens streams."""

        async def open_peer(name: str, address: str) -> Result[PeerStream, Refusal]:
            own = members.own.name
            await asyncio.sleep(2 * self.delay_ms / 1000.0)
            if not name:
                name = address.split(":")[0]
            answers = name in self.accept_by_name and not {own, name} & set(
                self.held_by_frozen_name
            )
            if not answers or not self.can_connect(own, name):
                await asyncio.sleep(0.5)
                return Err(Refusal(Code.PEER_UNREACHABLE, detail=name))
            other = self.members_by_name[name]
            if other.known_incarnation(own) > members.own.incarnation:
                members.raise_incarnation_above(other.known_incarnation(own))
                return Err(Refusal(Code.OLD_INCARNATION, detail=name))
            if members.known_incarnation(name) > other.own.incarnation:
                other.raise_incarnation_above(members.known_incarnation(name))
            self.opened_count += 1
            near = FakeStream(self, own, other.identity())
            far = FakeStream(self, name, members.identity())
            near.other, far.other = far, near
            self.silent_pairs.discard(frozenset((own, name)))
            self.accept_by_name[name](far)
            return Ok(near)

        return open_peer

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
