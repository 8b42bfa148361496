"""Distributes bundles between instances: each one fetches newer bundles from its peers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Err, Ok, Result

from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import BundlePiece, BundleRequest, Message, RequestHandler
from radishmount.publication._active_publication import ActivePublication


__all__ = ["ConfigurationSource", "BundleDistribution"]

PIECE_BYTES = 64 * 1024
MAX_BUNDLE_BYTES = 32 * 1024 * 1024
PIECE_TIMEOUT_MS = 2_000.0
MAX_INVALID_BUNDLES = 256
# In which the watchers of a data centre have read a new bundle themselves and offered it.
NEAR_OFFER_WAIT_MS = 200.0


class ConfigurationSource(Protocol):
    """The platform as a source of bundles.

    Each call is one request to the platform, also when it waits for a newer bundle.
    """

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Wait for a bundle newer than version `after`; return none after `wait_ms`."""


class PeerRequester(Protocol):
    """The part of `Peers` that the distribution of bundles uses."""

    async def request(
        self, name: str, message: Message, timeout_ms: float = ...
    ) -> Result[Message, Refusal]:
        """Send a request to the instance `name` and return its answer."""

    def handle_requests(self, kind: type, function: RequestHandler) -> None:
        """Use `function` to answer the requests of `kind`."""


@dataclass(slots=True)
class BundleDistribution:
    """Fetches newer bundles from peers, and serves pieces of the active bundle to them.

    One bundle is fetched at a time, from a peer that `is_near` if one offers it in time. A bundle
    that was found to be invalid is not fetched again.
    """

    active_publication: ActivePublication
    peers: PeerRequester
    clock: Clock
    counters: Counters
    is_near: Callable[[str], bool] = lambda peer: True
    fetch_task: asyncio.Task[None] | None = None
    offers_by_peer: dict[str, tuple[int, str]] = field(default_factory=dict)
    invalid_bundles: set[tuple[int, str]] = field(default_factory=set)

    def start(self) -> None:
        """Start to answer the requests of peers for pieces of the active bundle."""
        self.peers.handle_requests(BundleRequest, self._answer_piece)

    def consider_offer(self, peer: str, version: int, digest: str) -> None:
        """Fetch the version that `peer` has, if it is newer than the active one."""
        if not self.active_publication.check_remote_version(version, digest, f"peer {peer}"):
            self.offers_by_peer.pop(peer, None)
            return
        if (version, digest) in self.invalid_bundles:
            return
        self.offers_by_peer[peer] = (version, digest)
        if self.fetch_task is None or self.fetch_task.done():
            self.fetch_task = asyncio.create_task(self._fetch_offers(), name="fetch bundle")

    async def stop(self) -> None:
        """Cancel a fetch that is in progress."""
        if self.fetch_task is not None:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    async def _fetch_offers(self) -> None:
        """Fetch the offered versions, highest first, until no offer is left."""
        is_starting = self.active_publication.current.version == 0
        if not is_starting and not any(self.is_near(peer) for peer in self.offers_by_peer):
            await self.clock.sleep_ms(NEAR_OFFER_WAIT_MS)
        while self.offers_by_peer:
            peer = max(self.offers_by_peer, key=self._rank_of_offer)
            version, digest = self.offers_by_peer.pop(peer)
            if (
                version <= self.active_publication.current.version
                or (version, digest) in self.invalid_bundles
            ):
                continue
            match await self.fetch(peer, version):
                case Err(refusal):
                    self.counters.add("bundle_fetch_errors", refusal.code.name)
                    continue
                case Ok(body):
                    pass
            await self.active_publication.apply(body, source=f"peer {peer}")
            if self.active_publication.current.version < version:
                self._mark_invalid(version, digest)

    def _rank_of_offer(self, peer: str) -> tuple[int, bool]:
        version, _ = self.offers_by_peer[peer]
        return version, self.is_near(peer)

    async def fetch(self, peer: str, version: int) -> Result[bytes, Refusal]:
        """Return the whole bundle of `version`, fetched from `peer` piece by piece."""
        body = bytearray()
        while True:
            request = BundleRequest(version, len(body))
            answer = await self.peers.request(peer, request, PIECE_TIMEOUT_MS)
            if isinstance(answer, Err):
                return answer
            piece = answer.ok_value
            if not _is_next_piece(piece, version, len(body)):
                return Err(Refusal(Code.BAD_FRAME, detail=f"unexpected piece from {peer}"))
            body += piece.content
            if len(body) >= piece.total_bytes:
                return Ok(bytes(body))

    async def _answer_piece(self, peer: str, request: BundleRequest) -> Result[Any, Refusal]:
        current = self.active_publication.current
        if request.version != current.version:
            return Err(
                Refusal(Code.VERSION_NOT_GROWING, detail=f"version {current.version} is active")
            )
        body = self.active_publication.body
        content = body[request.offset : request.offset + PIECE_BYTES]
        return Ok(BundlePiece(current.version, current.digest, len(body), request.offset, content))

    def _mark_invalid(self, version: int, digest: str) -> None:
        if len(self.invalid_bundles) >= MAX_INVALID_BUNDLES:
            self.invalid_bundles.clear()
        self.invalid_bundles.add((version, digest))


def _is_next_piece(piece: Any, version: int, offset: int) -> bool:
    if not isinstance(piece, BundlePiece) or (piece.version, piece.offset) != (version, offset):
        return False
    return bool(piece.content) and piece.total_bytes <= MAX_BUNDLE_BYTES
