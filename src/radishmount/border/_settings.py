"""The settings of an entry instance."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import Field, ValidationError
from result import Err, Ok, Result

from radishmount.border._jsonc import read_jsonc
from radishmount.border._models import BorderModel, describe_all_errors
from radishmount.border._quantities import ListenAddress, ReachableAddress
from radishmount.codes import Code, Refusal


__all__ = [
    "EntrySettings",
    "SocketAddress",
    "read_entry_settings",
    "parse_address",
    "read_settings",
]

Model = TypeVar("Model", bound=BorderModel)


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IPv4 address and a port; listening on port 0 picks a free port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of an entry instance; it reads everything else from the platform.

    `seeds` are addresses of some peers. If the platform is down at the start, the instance requests
    the instance list and the bundle from them.
    """

    name: str
    data_centre: str
    caller_listen_address: SocketAddress
    operator_listen_address: SocketAddress
    peer_listen_address: SocketAddress
    platform: str
    peer_key: str
    seeds: tuple[str, ...] = ()


class EntrySettingsModel(BorderModel):
    """The validated model of the settings file."""

    name: Annotated[str, Field(min_length=1, max_length=100)]
    data_centre: Annotated[str, Field(min_length=1, max_length=100)]
    caller_address: ListenAddress
    operator_address: ListenAddress
    peer_address: ListenAddress
    platform: ReachableAddress
    peer_key: Annotated[str, Field(min_length=16)]
    seeds: Annotated[list[ReachableAddress], Field(max_length=100)] = []


def parse_address(address: str) -> SocketAddress:
    """Parse `host:port`; raise ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return SocketAddress(host, int(port))


def read_settings(model: type[Model], path: Path) -> Result[Model, Refusal]:
    """Validate the file `path` as `model`, or refuse with the file and every invalid field."""
    match read_jsonc(path):
        case Err(refusal):
            return Err(refusal)
        case Ok(value):
            pass
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_SETTING, detail=f"{path}: {describe_all_errors(error)}"))


def read_entry_settings(path: Path) -> Result[EntrySettings, Refusal]:
    """Return the settings in the file `path`, or refuse with the file and every invalid field."""
    read = read_settings(EntrySettingsModel, path)
    if isinstance(read, Err):
        return read
    model = read.ok_value
    return Ok(
        EntrySettings(
            name=model.name,
            data_centre=model.data_centre,
            caller_listen_address=parse_address(model.caller_address),
            operator_listen_address=parse_address(model.operator_address),
            peer_listen_address=parse_address(model.peer_address),
            platform=model.platform,
            peer_key=model.peer_key,
            seeds=tuple(model.seeds),
        )
    )
