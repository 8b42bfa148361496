"""A client for instances, for callers and operators.

It resolves the addresses to use and fails over from one instance to the next.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson
from pydantic import ValidationError
from result import Err, Ok, Result

from radishmount.border._models import BorderModel, describe_first_error
from radishmount.codes import Code, Refusal, RunStatus


__all__ = ["InstanceResponse", "InstanceClient"]

CONNECT_TIMEOUT_S = 2.0
TOTAL_TIMEOUT_S = 60.0
NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
FAILOVER_CODE_NAMES = frozenset({"NOT_READY", "INSTANCE_LEAVING", "OVERLOADED"})


class AddressModel(BorderModel):
    """One instance in the response to a request for addresses."""

    name: str
    address: str
    data_centre: str


class AddressesModel(BorderModel):
    """The response to a request for the addresses to use."""

    addresses: list[AddressModel]
    valid_for_ms: int


@dataclass(frozen=True, slots=True)
class InstanceResponse:
    """The response of the instance at `address`; `content` is the JSON object in its body."""

    address: str
    status: int
    content: dict[str, Any]

    @property
    def error(self) -> dict[str, Any] | None:
        """Return the refusal in the response, or None."""
        error = self.content.get("error")
        return error if isinstance(error, dict) else None

    @property
    def ran(self) -> str:
        """Return the run status that the response reports, `unknown` if it reports none."""
        run_status = self.content.get("ran") or (self.error or {}).get("ran")
        return str(run_status or RunStatus.UNKNOWN.value)


@dataclass(slots=True)
class InstanceClient:
    """Sends requests to given instances, or to the instances that are resolved for a caller.

    `entry_addresses` are instances to resolve addresses at. `diagnostics` collects one line for
    each attempt that failed.

    async with InstanceClient(["127.0.0.1:8080"]) as client:
        response = await client.post_to_any("workshop-lodi", "/v1/search", body)
    """

    entry_addresses: list[str]
    diagnostics: list[str] = field(default_factory=list)
    http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "InstanceClient":
        """Open the session."""
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        return self

    async def __aexit__(self, *error: object) -> None:
        """Close the session."""
        if self.http is not None:
            await self.http.close()

    async def get(
        self, address: str, path: str, query: dict[str, str] | None = None
    ) -> Result[InstanceResponse, Refusal]:
        """Send a GET request for `path` to the instance at `address`."""
        return await self._request("GET", address, path, query=query)

    async def post(
        self, address: str, path: str, body: dict[str, Any], key: str | None = None
    ) -> Result[InstanceResponse, Refusal]:
        """Post `body` as JSON to `path` at `address`, with the idempotency key `key` if given."""
        headers = {"Idempotency-Key": key} if key else {}
        return await self._request("POST", address, path, body=body, headers=headers)

    async def fetch_addresses(
        self, caller: str, data_centre: str = ""
    ) -> Result[InstanceResponse, Refusal]:
        """Ask the entry addresses in turn which addresses `caller` should use."""
        query = {"caller": caller}
        if data_centre:
            query["data_centre"] = data_centre
        last_refusal = Refusal(Code.NOT_CONNECTED, detail="no entry address was given")
        for entry in self.entry_addresses:
            match await self.get(entry, "/v1/addresses", query):
                case Ok(response):
                    if not _should_fail_over(response):
                        return Ok(response)
                    last_refusal = Refusal(Code.NOT_READY, detail=entry)
                case Err(refusal):
                    last_refusal = refusal
            self.diagnostics.append(f"{entry}: {last_refusal}")
        return Err(last_refusal)

    async def post_to_any(
        self,
        caller: str,
        path: str,
        body: dict[str, Any],
        *,
        key: str | None = None,
        is_idempotent: bool = True,
    ) -> Result[InstanceResponse, Refusal]:
        """Post `body` to the addresses for `caller` in turn, until one of them answers.

        A request that is not idempotent is retried only after a failure that proves that it did
        not run.
        """
        match await self._resolve_addresses(caller):
            case Err(refusal):
                return Err(refusal)
            case Ok(addresses):
                pass
        last_refusal = Refusal(Code.NOT_CONNECTED, detail="no instance address was returned")
        for address in addresses:
            match await self.post(address, path, body, key):
                case Ok(response):
                    if not _should_fail_over(response) or (
                        not is_idempotent and response.ran != RunStatus.NOT_RUN
                    ):
                        return Ok(response)
                    last_refusal = Refusal(Code.NOT_READY, detail=address)
                case Err(refusal):
                    if refusal.ran is not RunStatus.NOT_RUN and not is_idempotent:
                        return Err(refusal)
                    last_refusal = refusal
            self.diagnostics.append(f"{address}: {last_refusal}")
        return Err(last_refusal)

    async def _resolve_addresses(self, caller: str) -> Result[Iterable[str], Refusal]:
        match await self.fetch_addresses(caller):
            case Err(refusal):
                return Err(refusal)
            case Ok(response):
                pass
        if response.error is not None:
            return Err(
                Refusal(Code.NOT_CONNECTED, detail=f"{response.error.get('text')}: {caller}")
            )
        try:
            model = AddressesModel.model_validate(response.content)
        except ValidationError as error:
            return Err(Refusal(Code.BAD_REPLY, detail=describe_first_error(error)))
        return Ok([instance.address for instance in model.addresses])

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[InstanceResponse, Refusal]:
        timeout = aiohttp.ClientTimeout(total=TOTAL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        data = None if body is None else orjson.dumps(body)
        url = f"http://{address}{quote(path)}"
        assert self.http is not None, "used outside of `async with`"
        try:
            async with self.http.request(
                method, url, params=query, data=data, headers=headers, timeout=timeout
            ) as response:
                content = orjson.loads(await response.read())
                status = response.status
        except NOT_CONNECTED_ERRORS as error:
            return Err(Refusal(Code.NOT_CONNECTED, detail=f"{address}: {error}"))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            detail = f"{address}: {type(error).__name__}"
            return Err(Refusal(Code.CONNECTION_LOST, detail=detail, ran=RunStatus.UNKNOWN))
        except orjson.JSONDecodeError as error:
            return Err(Refusal(Code.BAD_REPLY, detail=f"{address}: {error}", ran=RunStatus.UNKNOWN))
        if not isinstance(content, dict):
            return Err(
                Refusal(
                    Code.BAD_REPLY,
                    detail=f"{address}: the body is not a JSON object",
                    ran=RunStatus.UNKNOWN,
                )
            )
        return Ok(InstanceResponse(address, status, content))


def _should_fail_over(response: InstanceResponse) -> bool:
    """Return whether another instance may serve the request that this one refused."""
    return response.error is not None and response.error.get("name") in FAILOVER_CODE_NAMES
