"""A stand-in for a caller: it asks which instances to use and sends its searches to them."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import orjson

from radishmount.clock import Clock
from radishmount.trial import CallAttempt, CallOutcome, CallRecord, row_origin


__all__ = ["CallerStandIn"]

RESPONSE_GRACE_MS = 500.0
ADDRESSES_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.25
ROW_LIMIT = 1000
MAX_TRIES = 3
RETRY_ELSEWHERE_CODES = frozenset({"NOT_READY", "INSTANCE_LEAVING"})


@dataclass(frozen=True, slots=True)
class InstanceAddress:
    """An instance from the address list that the caller received."""

    name: str
    address: str


@dataclass(slots=True)
class CallerStandIn:
    """One caller. It asks `bootstrap_addresses` when no instance that it knows returns a list.

    It retries at another instance when a connection fails, when the instance accepts no work, and,
    if `move_on_ms` is set, after that time without a reply. `delay_ms` returns the network delay
    of one direction. `addresses` is the list that it uses, to be renewed from `valid_until_ms` on.
    """

    name: str
    data_centre: str
    clock: Clock
    bootstrap_addresses: Callable[[], Sequence[str]]
    delay_ms: Callable[[], float]
    move_on_ms: float | None = None
    addresses: Sequence[InstanceAddress] = ()
    valid_until_ms: float = 0.0
    refresh_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    refresh_task: asyncio.Task[None] | None = None
    http: aiohttp.ClientSession | None = None

    async def search(self, record: CallRecord) -> None:
        """Send one search, with retries, and write its outcome into `record`."""
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
            target = await self._address_for(number)
            if target is None or self.clock.now_ms() >= end_at_ms:
                return
            record.request_id = f"{record.call_id}.{number}"
            answer = await self._post(target, "/v1/search", body, record)
            if answer is None:
                continue
            if self._record_response(record, target, answer):
                return

    async def close(self) -> None:
        """Cancel a running refresh of the addresses and close the connections."""
        if self.refresh_task is not None:
            self.refresh_task.cancel()
            await asyncio.gather(self.refresh_task, return_exceptions=True)
        if self.http is not None:
            await self.http.close()

    def _record_response(
        self, record: CallRecord, target: InstanceAddress, answer: dict[str, Any]
    ) -> bool:
        """Write `answer` into `record`; return whether it is final, so that no retry follows."""
        record.echoed_request_id = str(answer.get("request_id", ""))
        error = answer.get("error")
        if error is None:
            _record_answer(record, answer)
            self._record_try(record, target)
            return True
        record.outcome = CallOutcome.REFUSED
        record.code = str(error["name"])
        record.detail = str(error.get("detail", ""))
        record.ran = str(error["ran"])
        self._record_try(record, target, refused_as=record.code, ran=record.ran)
        return record.code not in RETRY_ELSEWHERE_CODES

    async def _post(
        self, target: InstanceAddress, path: str, body: bytes, record: CallRecord
    ) -> dict[str, Any] | None:
        """Send `body` and return the reply, or None if there was no whole reply in time."""
        timeout_ms = record.deadline_ms + RESPONSE_GRACE_MS
        if self.move_on_ms is not None and len(self.addresses) > 1:
            timeout_ms = min(timeout_ms, self.move_on_ms)
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000.0, sock_connect=CONNECT_TIMEOUT_S)
        headers = {"X-Request-Id": record.request_id, "Content-Type": "application/json"}
        try:
            await asyncio.sleep(self.delay_ms() / 1000.0)
            async with self._client_session().post(
                f"http://{target.address}{path}", data=body, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                record.echoed_request_id = response.headers.get("X-Request-Id", "")
            await asyncio.sleep(self.delay_ms() / 1000.0)
            answer = _parse_response(content)
        except aiohttp.ClientConnectorError:
            self._record_try(record, target)
        except TimeoutError:  # an OSError too, but the connection itself did not break
            self._record_try(record, target, refused_as="no answer")
        except (aiohttp.ClientError, OSError):
            self._record_try(record, target, cut=True)
        else:
            return answer
        self.addresses = [address for address in self.addresses if address != target]
        return None

    def _record_try(self, record: CallRecord, target: InstanceAddress, **outcome: Any) -> None:
        now_ms = self.clock.now_ms()
        record.attempts.append(CallAttempt(record.request_id, target.name, now_ms, **outcome))

    async def _address_for(self, number: int) -> InstanceAddress | None:
        """Return the address to use for try `number`, counted from 0.

        An expired list of addresses is refreshed in the background and used until then.
        """
        if not self.addresses:
            async with self.refresh_lock:
                if not self.addresses:
                    await self._refresh()
        elif self.clock.now_ms() >= self.valid_until_ms and not self.refresh_lock.locked():
            self.refresh_task = asyncio.create_task(self._refresh_with_lock())
        return self.addresses[min(number, len(self.addresses) - 1)] if self.addresses else None

    async def _refresh_with_lock(self) -> None:
        async with self.refresh_lock:
            await self._refresh()

    async def _refresh(self) -> None:
        candidates = [instance.address for instance in self.addresses] + list(
            self.bootstrap_addresses()
        )
        params = {"caller": self.name, "data_centre": self.data_centre}
        for address in candidates:
            url = f"http://{address}/v1/addresses"
            timeout = aiohttp.ClientTimeout(total=ADDRESSES_TIMEOUT_S)
            try:
                async with self._client_session().get(
                    url, params=params, timeout=timeout
                ) as response:
                    answer = orjson.loads(await response.read())
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            if "error" in answer or not answer["addresses"]:
                continue
            self.addresses = [InstanceAddress(i["name"], i["address"]) for i in answer["addresses"]]
            self.valid_until_ms = self.clock.now_ms() + answer["valid_for_ms"]
            return

    def _client_session(self) -> aiohttp.ClientSession:
        if self.http is None:
            self.http = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
            )
        return self.http


def _parse_response(content: bytes) -> dict[str, Any]:
    """Return the reply; one that is no JSON object becomes an error with run status unknown."""
    try:
        answer = orjson.loads(content)
    except orjson.JSONDecodeError:
        answer = None
    if isinstance(answer, dict):
        return answer
    return {"error": {"name": "UNREADABLE_ANSWER", "ran": "unknown"}}


def _record_answer(record: CallRecord, answer: dict[str, Any]) -> None:
    record.outcome = CallOutcome.ANSWER
    record.index_version = answer["index_version"]
    record.complete = answer["complete"]
    record.covered = tuple(answer["coverage"]["covered"])
    record.missing = tuple(answer["coverage"]["missing"])
    record.rows = tuple(row_origin(row["key"], row["fields"]) for row in answer["rows"])
