"""The client of the platform, which reads and watches published values and the instance list."""

from http import HTTPStatus
from typing import Annotated, Literal

import aiohttp
import orjson
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from radishmount.border._bounded_body import read_bounded
from radishmount.border._manifest import (
    BUNDLE_KEY,
    MAX_VALUE_BYTES,
    ManifestModel,
    join_pieces,
    parse_manifest,
)
from radishmount.border._models import BorderModel, describe_first_error
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.fleet import Instance, InstanceList, InstanceState


__all__ = ["HttpPlatformClient"]

RESPONSE_MARGIN_S = 2.0


class ListedInstanceModel(BorderModel):
    """One entry of the instance list: an instance or an endpoint."""

    name: str
    role: Literal["entry", "endpoint"]
    data_centre: str
    state: Literal["live", "leaving"]
    caller_address: str = ""
    peer_address: str = ""


class InstanceListModel(BorderModel):
    """The instance list."""

    version: Annotated[int, Field(ge=0)]
    instances: list[ListedInstanceModel]

    def to_data(self) -> InstanceList:
        """Return the list as a data class."""
        instances = []
        leaving_endpoints = set()
        for listed in self.instances:
            if listed.role == "endpoint":
                if listed.state == "leaving":
                    leaving_endpoints.add(listed.name)
                continue
            instances.append(
                Instance(
                    listed.name,
                    listed.data_centre,
                    listed.caller_address,
                    listed.peer_address,
                    InstanceState(listed.state),
                )
            )
        return InstanceList(self.version, tuple(instances), frozenset(leaving_endpoints))


class HttpPlatformClient:
    """Reads from the platform over HTTP, and counts the traffic as control traffic."""

    def __init__(self, address: str, counters: Counters | None = None) -> None:
        self._url = f"http://{address}"
        self._counters = counters or Counters()
        self._session: aiohttp.ClientSession | None = None

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return the bundle if it is newer than version `after`; wait up to `wait_ms` for one.

        The result is None if there is no newer bundle.
        """
        answer = await self._get(f"/v1/values/{BUNDLE_KEY}", after, wait_ms)
        if isinstance(answer, Err) or answer.ok_value is None:
            return answer
        try:
            manifest = parse_manifest(answer.ok_value)
        except ValueError as error:
            return Err(Refusal(Code.PLATFORM_RUBBISH, detail=str(error)))
        if manifest is None:
            return answer
        if manifest.version <= after:
            return Err(Refusal(Code.PLATFORM_WENT_BACK, detail=f"version {manifest.version}"))
        return await self._fetch_pieces(manifest)

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the list if it is newer than version `after`; wait up to `wait_ms` for one.

        The result is None if there is no newer list.
        """
        answer = await self._get("/v1/instances", after, wait_ms)
        if isinstance(answer, Err):
            return answer
        return Ok(None) if answer.ok_value is None else _parse_instance_list(answer.ok_value)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _fetch_pieces(self, manifest: ManifestModel) -> Result[bytes | None, Refusal]:
        pieces = []
        for key in manifest.pieces:
            self._counters.add("platform_reads", "piece")
            answer = await self._get(f"/v1/values/{key}", after=0, wait_ms=0)
            if isinstance(answer, Err):
                return answer
            pieces.append(answer.ok_value or b"")
        body = join_pieces(manifest, pieces)
        if body is None:
            return Err(
                Refusal(Code.PLATFORM_RUBBISH, detail="the pieces do not match the manifest")
            )
        return Ok(body)

    async def _get(self, path: str, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        parameters = {"after": str(after), "wait_ms": str(wait_ms)}
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000.0 + RESPONSE_MARGIN_S)
        try:
            async with self._get_session().get(
                self._url + path, params=parameters, timeout=timeout
            ) as response:
                content = await read_bounded(response, MAX_VALUE_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(Refusal(Code.PLATFORM_DOWN, detail=repr(error)))
        self._count(response, content)
        if response.status == HTTPStatus.NOT_MODIFIED:
            return Ok(None)
        if response.status != HTTPStatus.OK:
            return Err(Refusal(Code.PLATFORM_DOWN, detail=f"status {response.status}"))
        if content is None:
            return Err(Refusal(Code.PLATFORM_RUBBISH, detail=f"more than {MAX_VALUE_BYTES} bytes"))
        return Ok(content)

    def _count(self, response: aiohttp.ClientResponse, content: bytes | None) -> None:
        sent = sum(
            len(name) + len(text) + 4 for name, text in response.request_info.headers.items()
        )
        received = sum(len(name) + len(text) + 4 for name, text in response.raw_headers)
        self._counters.add("control_bytes", "platform out", sent + len(str(response.url)))
        self._counters.add("control_bytes", "platform in", received + len(content or b""))

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        return self._session


def _parse_instance_list(content: bytes) -> Result[InstanceList | None, Refusal]:
    try:
        return Ok(InstanceListModel.model_validate(orjson.loads(content)).to_data())
    except orjson.JSONDecodeError as error:
        return Err(Refusal(Code.PLATFORM_RUBBISH, detail=str(error)))
    except ValidationError as error:
        return Err(Refusal(Code.PLATFORM_RUBBISH, detail=describe_first_error(error)))
