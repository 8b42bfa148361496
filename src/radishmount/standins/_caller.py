"""A small stand-in of a caller: it asks which addresses to use and follows the answer."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from radishmount.clock import Clock
from radishmount.trial import CallRecord, CallTry, Told, row_told


__all__ = ["CallerStandIn"]

ANSWER_GRACE_MS = 500.0
ADDRESSES_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.25
ROW_LIMIT = 1000
MAX_TRIES = 3
MOVE_ON_CODES = frozenset({"NOT_READY", "INSTANCE_LEAVING"})


@dataclass(frozen=True, slots=True)
class KnownAddress:
    """An instance that the caller was told to use."""

    name: str
    address: str


@dataclass(slots=True)
class CallerStandIn:
    """One caller. `first_addresses` are where it asks while it knows nothing better.

    It tries another address when a connection fails, when the instance takes no work, and after
    `move_on_ms` without an answer, if that is set.
    """

    name: str
    data_centre: str
    clock: Clock
    first_addresses: Callable[[], Sequence[str]]
    distance_ms: Callable[[], float]
    move_on_ms: float | None = None
    known: Sequence[KnownAddress] = ()
    valid_until_ms: float = 0.0
    refreshing: asyncio.Lock = field(default_factory=asyncio.Lock)
    renewal: asyncio.Task[None] | None = None
    http: aiohttp.ClientSession | None = None

    async def search(self, record: CallRecord) -> None:
        """Send one search and write into `record` what the caller is told."""
        content = {
            "caller": self.name,
            "collection": record.collection,
            "text": record.text,
            "limit": ROW_LIMIT,
            "deadline_ms": record.deadline_ms,
        }
        body = orjson.dumps(content)
        end_at_ms = self.clock.now_ms() + record.deadline_ms
        for number in range(MAX_TRIES):
            target = await self._address(number)
            if target is None or self.clock.now_ms() >= end_at_ms:
                return
            record.request_id = f"{record.call_id}.{number}"
            answer = await self._post(target, "/v1/search", body, record)
            if answer is None:
                continue
            if self._take(record, target, answer):
                return

    async def close(self) -> None:
        """Close the connections."""
        if self.renewal is not None:
            self.renewal.cancel()
            await asyncio.gather(self.renewal, return_exceptions=True)
        if self.http is not None:
            await self.http.close()

    def _take(self, record: CallRecord, target: KnownAddress, answer: dict[str, Any]) -> bool:
        """Write `answer` into `record`; tell whether it was the last word."""
        record.echoed_request_id = str(answer.get("request_id", ""))
        error = answer.get("error")
        if error is None:
            _take_answer(record, answer)
            self._tried(record, target)
            return True
        record.told = Told.REFUSED
        record.code = str(error["name"])
        record.detail = str(error.get("detail", ""))
        record.ran = str(error["ran"])
        self._tried(record, target, refused_as=record.code, ran=record.ran)
        return record.code not in MOVE_ON_CODES

    async def _post(
        self, target: KnownAddress, path: str, body: bytes, record: CallRecord
    ) -> dict[str, Any] | None:
        """Send `body`; none tells that the connection failed."""
        patience_ms = record.deadline_ms + ANSWER_GRACE_MS
        if self.move_on_ms is not None and len(self.known) > 1:
            patience_ms = min(patience_ms, self.move_on_ms)
        timeout = aiohttp.ClientTimeout(total=patience_ms / 1000.0, sock_connect=CONNECT_TIMEOUT_S)
        headers = {"X-Request-Id": record.request_id, "Content-Type": "application/json"}
        try:
            await asyncio.sleep(self.distance_ms() / 1000.0)
            async with self._open().post(
                f"http://{target.address}{path}", data=body, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                record.echoed_request_id = response.headers.get("X-Request-Id", "")
            await asyncio.sleep(self.distance_ms() / 1000.0)
            answer = _content_of(content)
        except aiohttp.ClientConnectorError:
            self._tried(record, target)
        except TimeoutError:  # an OSError too, but the caller's own patience cut nothing
            self._tried(record, target, refused_as="no answer")
        except (aiohttp.ClientError, OSError):
            self._tried(record, target, cut=True)
        else:
            return answer
        self.known = [known for known in self.known if known != target]
        return None

    def _tried(self, record: CallRecord, target: KnownAddress, **told: Any) -> None:
        now_ms = self.clock.now_ms()
        record.tries.append(CallTry(record.request_id, target.name, now_ms, **told))

    async def _address(self, number: int) -> KnownAddress | None:
        """Return the address to use for try `number`.

        An answer that is too old is renewed in the background and used until then.
        """
        if not self.known:
            async with self.refreshing:
                if not self.known:
                    await self._refresh()
        elif self.clock.now_ms() >= self.valid_until_ms and not self.refreshing.locked():
            self.renewal = asyncio.create_task(self._renew())
        return self.known[min(number, len(self.known) - 1)] if self.known else None

    async def _renew(self) -> None:
        async with self.refreshing:
            await self._refresh()

    async def _refresh(self) -> None:
        asked = [known.address for known in self.known] + list(self.first_addresses())
        params = {"caller": self.name, "data_centre": self.data_centre}
        for address in asked:
            url = f"http://{address}/v1/addresses"
            timeout = aiohttp.ClientTimeout(total=ADDRESSES_TIMEOUT_S)
            try:
                async with self._open().get(url, params=params, timeout=timeout) as response:
                    answer = orjson.loads(await response.read())
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if "error" in answer or not answer["addresses"]:
                continue
            self.known = [KnownAddress(i["name"], i["address"]) for i in answer["addresses"]]
            self.valid_until_ms = self.clock.now_ms() + answer["valid_for_ms"]
            return

    def _open(self) -> aiohttp.ClientSession:
        if self.http is None:
            self.http = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
            )
        return self.http


def _content_of(content: bytes) -> dict[str, Any]:
    """Return an answer; one that is no JSON object counts as an error that may have run."""
    try:
        answer = orjson.loads(content)
    except orjson.JSONDecodeError:
        answer = None
    if isinstance(answer, dict):
        return answer
    return {"error": {"name": "UNREADABLE_ANSWER", "ran": "unknown"}}


def _take_answer(record: CallRecord, answer: dict[str, Any]) -> None:
    record.told = Told.ANSWER
    record.index_version = answer["index_version"]
    record.complete = answer["complete"]
    record.covered = tuple(answer["coverage"]["covered"])
    record.missing = tuple(answer["coverage"]["missing"])
    record.rows = tuple(row_told(row["key"], row["fields"]) for row in answer["rows"])
