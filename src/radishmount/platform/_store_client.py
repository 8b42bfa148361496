"""The client of the platform's key-value store: HTTP with JSON, read-only."""

import base64
import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any, Literal

import aiohttp
import orjson
from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from radishmount.border import (
    ColdTime,
    DataCentreName,
    EndpointAddress,
    ListedName,
    ServiceName,
    SlotCount,
    StartTime,
    describe_first_error,
    read_bounded,
)
from radishmount.codes import Code, Refusal
from radishmount.discovery import (
    ERAS_PER_HISTORY,
    ConfigurationEntry,
    EndpointEntry,
    EndpointRemoval,
    EvacuationEntry,
    ListedEndpoint,
    StoreAnswer,
    StoreEntry,
    StoreFailure,
    StoreFailureKind,
    StorePosition,
)
from radishmount.platform._protocol_names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    ERA_HEADER,
    EVACUATION_PREFIX,
)
from radishmount.platform._settings import PlatformModel
from radishmount.platform._sockets import make_keepalive_socket


__all__ = ["HttpStoreClient", "read_listed_endpoint"]

CALL_TIMEOUT_S = 1.0  # 250 times the response time that the platform states
ALL_KEYS_PREFIX = ""
MAX_FAULT_LENGTH = 200
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # several times a page, or a watch that returns much history
ERA_TEXT = re.compile("[0-9]{1,5}")
MAX_ERA = ERAS_PER_HISTORY - 1
StoreRevision = Annotated[int, Field(ge=0, lt=2**63)]
DATA_CENTRE_NAME: TypeAdapter[str] = TypeAdapter(DataCentreName)


class BackendModel(PlatformModel):
    """The entry that a back end writes about itself, under its id."""

    id: ListedName
    service: ServiceName
    address: EndpointAddress
    zone: DataCentreName
    version: Annotated[str, Field(strict=True)]  # of its software; not used
    slots: SlotCount
    state: Literal["ready", "draining"]
    cold_left_ms: ColdTime = Field(alias="coldLeftMs")
    born: StartTime = 0
    seq: Annotated[int, Field(strict=True)]


class ItemModel(PlatformModel):
    """One entry of the store, or one change of an entry."""

    key: str
    value: str = ""
    revision: StoreRevision
    removed: bool = False


class RangeModel(PlatformModel):
    """One page of a range read."""

    items: list[ItemModel]
    more_pages: bool = Field(False, alias="morePages")
    store_revision: StoreRevision = Field(alias="storeRevision")


class WatchModel(PlatformModel):
    """The changes after a revision."""

    events: list[ItemModel]
    store_revision: StoreRevision = Field(alias="storeRevision")


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """The JSON content of a response, none if it is gone, and the era of the store that sent it."""

    era: int
    content: Any


class HttpStoreClient:
    """Reads and watches the store over HTTP."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def read_all(self) -> Result[StoreAnswer, StoreFailure]:
        """Return all entries, read page by page, with the position of the first page."""
        entries: list[StoreEntry] = []
        position: StorePosition | None = None
        last_change = 0
        after = ""
        while True:
            query = {"prefix": ALL_KEYS_PREFIX, **({"after": after} if after else {})}
            answer = await self._get("/-/kv-range", query, 0.0)
            if isinstance(answer, Err):
                return answer
            try:
                page = RangeModel.model_validate(answer.ok_value.content)
            except ValidationError as error:
                return self._unreadable(error)
            era = answer.ok_value.era
            if position is None:
                position = StorePosition(era, page.store_revision)
            if era != position.era:
                return self._unavailable(f"era {era} within a read of era {position.era}")
            entries.extend(_parse_entries(page.items))
            last_change = max([last_change, *(item.revision for item in page.items)])
            if not page.more_pages or not page.items:
                return Ok(StoreAnswer(tuple(entries), position, last_change))
            after = page.items[-1].key

    async def watch(self, after: StorePosition, wait_ms: int) -> Result[StoreAnswer, StoreFailure]:
        """Return the changes after the revision of `after`, waiting up to `wait_ms` for one."""
        query = {"prefix": ALL_KEYS_PREFIX, "after": str(after.revision), "waitMs": str(wait_ms)}
        answer = await self._get("/-/kv-watch", query, wait_ms / 1000.0)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.content is None:
            return self._history_gone(after, answer.ok_value.era)
        try:
            change = WatchModel.model_validate(answer.ok_value.content)
        except ValidationError as error:
            return self._unreadable(error)
        last_change = max((event.revision for event in change.events), default=0)
        entries = tuple(_parse_entries(change.events))
        position = StorePosition(answer.ok_value.era, change.store_revision)
        return Ok(StoreAnswer(entries, position, last_change))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, path: str, query: dict[str, str], wait_s: float
    ) -> Result[StoreResponse, StoreFailure]:
        timeout = aiohttp.ClientTimeout(total=wait_s + CALL_TIMEOUT_S, sock_connect=CALL_TIMEOUT_S)
        try:
            async with self._get_session().get(
                self._url + path, params=query, timeout=timeout
            ) as response:
                status = response.status
                era_headers = response.headers.getall(ERA_HEADER, [])
                content = await read_bounded(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return self._unavailable(repr(error))
        if content is None:
            return self._unavailable(f"more than {MAX_ANSWER_BYTES} bytes")
        if status not in (HTTPStatus.OK, HTTPStatus.GONE):
            return self._unavailable(f"status {status}")
        try:
            era = _parse_era(era_headers)
            is_gone = status == HTTPStatus.GONE
            return Ok(StoreResponse(era, None if is_gone else orjson.loads(content)))
        except ValueError as error:
            return self._unreadable(error)

    def _history_gone(self, after: StorePosition, era: int) -> Err[StoreFailure]:
        """Return the failure of a watch that the store answered with 410."""
        detail = (
            f"{self.address} in era {era}, asked for era {after.era}, revision {after.revision}"
        )
        if era != after.era:
            refusal = Refusal(Code.PLATFORM_WENT_BACK, detail=detail)
            return Err(StoreFailure(StoreFailureKind.RESTORED, refusal))
        refusal = Refusal(Code.PLATFORM_FORGOT, detail=detail)
        return Err(StoreFailure(StoreFailureKind.COMPACTED, refusal))

    def _unavailable(self, detail: str) -> Err[StoreFailure]:
        refusal = Refusal(Code.PLATFORM_DOWN, detail=f"{self.address}: {detail}")
        return Err(StoreFailure(StoreFailureKind.UNAVAILABLE, refusal))

    def _unreadable(self, error: Exception) -> Err[StoreFailure]:
        detail = f"{self.address}: {str(error)[:MAX_FAULT_LENGTH]}"
        refusal = Refusal(Code.PLATFORM_RUBBISH, detail=detail)
        return Err(StoreFailure(StoreFailureKind.UNAVAILABLE, refusal))

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    socket_factory=lambda info: make_keepalive_socket(info)
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _parse_era(values: list[str]) -> int:
    """Return the era that the header of a response tells, zero without one; raise ValueError."""
    if not values:
        return 0
    if len(set(values)) > 1:
        raise ValueError(f"{ERA_HEADER} has several values")
    if not ERA_TEXT.fullmatch(values[0]) or int(values[0]) > MAX_ERA:
        raise ValueError(f"{ERA_HEADER} is not a number from 0 to {MAX_ERA}")
    return int(values[0])


def read_listed_endpoint(name: str, value: str) -> Result[ListedEndpoint, str]:
    """Parse the entry `value` (JSON in base64) of a back end, or return what is wrong with it."""
    try:
        fields = orjson.loads(base64.b64decode(value, validate=True))
        if not isinstance(fields, dict):
            return Err("not an object")
        model = BackendModel.model_validate({**fields, "id": name})
    except ValidationError as error:
        return Err(describe_first_error(error))
    except ValueError as error:
        return Err(str(error)[:MAX_FAULT_LENGTH])
    endpoint = ListedEndpoint(
        name=model.id,
        service=model.service,
        address=model.address,
        data_centre=model.zone,
        slots=model.slots,
        is_draining=model.state == "draining",
        cold_for_ms=model.cold_left_ms,
        started_at_ms=model.born,
    )
    return Ok(endpoint)


def _parse_entries(items: list[ItemModel]) -> list[StoreEntry]:
    entries: list[StoreEntry] = []
    for item in items:
        if item.key == CONFIGURATION_KEY and not item.removed:
            entries.append(ConfigurationEntry(_decode_configuration(item.value)))
        if item.key.startswith(EVACUATION_PREFIX):
            entries.extend(_parse_evacuation(item))
        if not item.key.startswith(ENDPOINT_PREFIX):
            continue
        name = item.key.removeprefix(ENDPOINT_PREFIX)
        if item.removed:
            entries.append(EndpointRemoval(name))
        else:
            entries.append(_parse_endpoint_entry(name, item.value))
    return entries


def _parse_endpoint_entry(name: str, value: str) -> EndpointEntry:
    match read_listed_endpoint(name, value):
        case Ok(endpoint):
            return EndpointEntry(name, endpoint)
        case Err(fault):
            return EndpointEntry(name, None, fault)


def _parse_evacuation(item: ItemModel) -> list[StoreEntry]:
    """Return the evacuation of a key, whatever its value; none if it names no data centre.

    Names are checked here as peers check them, who would refuse a whole message for one of them.
    """
    try:
        name = DATA_CENTRE_NAME.validate_python(item.key.removeprefix(EVACUATION_PREFIX))
    except ValueError:
        return []
    return [EvacuationEntry(name, not item.removed)]


def _decode_configuration(value: str) -> bytes:
    """Return the configuration in `value`; text that is not base64 is returned for its error."""
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return value.encode("utf-8", "surrogatepass")  # the configuration that fails is reported
