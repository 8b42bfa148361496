"""The client of the platform: published values and the instance list, read and watched."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Annotated, Literal, TypeVar

import aiohttp
import orjson
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from radishmount.border._models import BorderModel, describe_fault
from radishmount.codes import Code, Refusal
from radishmount.fleet import Instance, InstanceList, InstanceState


__all__ = ["CONFIGURATION_KEY", "HttpPlatform"]

CONFIGURATION_KEY = "radishmount/bundle"
ANSWER_MARGIN_S = 2.0

T = TypeVar("T")


class ListedModel(BorderModel):
    """One line of the instance list."""

    name: str
    role: Literal["entry", "endpoint"]
    data_centre: str
    state: Literal["live", "leaving"]
    caller_address: str = ""
    peer_address: str = ""


class ListModel(BorderModel):
    """The instance list."""

    version: Annotated[int, Field(ge=0)]
    instances: list[ListedModel]

    def to_data(self) -> InstanceList:
        """Return the list as a data class."""
        entries = []
        leaving = set()
        for line in self.instances:
            if line.role == "endpoint":
                if line.state == "leaving":
                    leaving.add(line.name)
                continue
            entries.append(
                Instance(
                    line.name,
                    line.data_centre,
                    line.caller_address,
                    line.peer_address,
                    InstanceState(line.state),
                )
            )
        return InstanceList(self.version, tuple(entries), frozenset(leaving))


class HttpPlatform:
    """The platform over HTTP."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return the bundle newer than version `after`, or none within `wait_ms`."""
        return await self._get(f"/v1/values/{CONFIGURATION_KEY}", after, wait_ms, _as_it_is)

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list newer than version `after`, or none within `wait_ms`."""
        return await self._get("/v1/instances", after, wait_ms, _as_list)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, path: str, after: int, wait_ms: int, read: Callable[[bytes], Result[T, Refusal]]
    ) -> Result[T | None, Refusal]:
        parameters = {"after": str(after), "wait_ms": str(wait_ms)}
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000.0 + ANSWER_MARGIN_S)
        try:
            async with self._open().get(
                self._url + path, params=parameters, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(Refusal(Code.PLATFORM_DOWN, detail=repr(error)))
        if status == HTTPStatus.NOT_MODIFIED:
            return Ok(None)
        if status != HTTPStatus.OK:
            return Err(Refusal(Code.PLATFORM_DOWN, detail=f"status {status}"))
        return read(content)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        return self._session


def _as_it_is(content: bytes) -> Result[bytes, Refusal]:
    return Ok(content)


def _as_list(content: bytes) -> Result[InstanceList, Refusal]:
    try:
        return Ok(ListModel.model_validate(orjson.loads(content)).to_data())
    except orjson.JSONDecodeError as error:
        return Err(Refusal(Code.PLATFORM_RUBBISH, detail=str(error)))
    except ValidationError as error:
        return Err(Refusal(Code.PLATFORM_RUBBISH, detail=describe_fault(error)))
