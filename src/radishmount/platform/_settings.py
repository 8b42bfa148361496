"""Parses the platform's settings file into a data class with this project's terms."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from radishmount.border import SocketAddress, describe_all_errors, parse_address
from radishmount.codes import Code, Refusal
from radishmount.forwarding import RetryBudgetSettings


__all__ = ["DeploymentSettings", "read_deployment_settings"]

MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """The settings of an instance. Times are in milliseconds.

    `seeds` are peer addresses of at most three instances, any of which may be stale or down.
    `capacity` is the CPU capacity, where 1.0 is one whole core. `memory_bytes` is the memory that
    the process may use, and `max_descriptors` how many files and sockets it may have open. Changes
    that the operator or an endpoint publishes must reach all instances within `max_propagation_ms`.
    Of the requests that a cold endpoint takes in a second, all instances together may send
    `cold_ratio` times as many, plus `cold_slack`.
    """

    name: str
    data_centre: str
    capacity: float
    caller_listen_address: SocketAddress
    readiness_listen_address: SocketAddress
    peer_listen_address: SocketAddress
    directory_listen_address: SocketAddress
    store_address: str
    seeds: tuple[str, ...]
    stop_grace_ms: float
    addresses_valid_for_ms: float
    max_propagation_ms: float
    retry_budget_settings: RetryBudgetSettings
    memory_bytes: int
    max_descriptors: int = 4_096
    cold_ratio: float = 1.0
    cold_slack: float = 0.0


class PlatformModel(BaseModel):
    """A model that ignores unknown fields, as the platform may add fields at any time."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ListenModel(PlatformModel):
    """The addresses on which the process listens."""

    front: str
    ready: str
    control: str
    directory: str


class BoundsModel(PlatformModel):
    """The platform's limits, as far as this project uses them."""

    grace_s: float = Field(5.0, alias="graceS")
    drain_ms: float = Field(3_000.0, alias="drainMs")
    config_apply_ms: float = Field(3_000.0, alias="configApplyMs")
    retry_budget_ratio: float = Field(0.0, alias="retryBudgetRatio")
    budget_window_s: float = Field(10.0, alias="budgetWindowS")
    retry_budget_slack: float = Field(0.0, alias="retryBudgetSlack")
    ttl_max_s: float = Field(5.0, alias="ttl_max_s")
    evacuate_ms: float | None = Field(None, alias="evacuateMs")
    cold_over: Annotated[float, Field(ge=1.0)] = Field(1.0, alias="coldOver")
    cold_slack: Annotated[float, Field(ge=0.0)] = Field(0.0, alias="coldSlack")

    @property
    def max_propagation_ms(self) -> float:
        """Return within which time the shortest-lived change must be known everywhere."""
        bounds_ms = (self.drain_ms, self.config_apply_ms, self.evacuate_ms)
        return min(bound_ms for bound_ms in bounds_ms if bound_ms is not None)


class LimitsModel(PlatformModel):
    """The CPU and memory limits of the process."""

    # Only one thread runs at a time. It gets the share `cpu_share` of a core that is `cores` times
    # as fast as a whole core.
    cpu_share: float = Field(1.0, alias="cpuShare")
    cores: float = 1.0
    memory_mb: int = Field(256, alias="memoryMb", ge=1)
    max_fds: int = Field(4_096, alias="maxFds", ge=1)


class StoreModel(PlatformModel):
    """The address of the platform's store."""

    address: str


class SettingsModel(PlatformModel):
    """The settings file."""

    node_name: str = Field(alias="nodeName")
    zone: str
    seeds: list[str] = []
    listen: ListenModel
    limits: LimitsModel = Field(default_factory=lambda: LimitsModel.model_validate({}))
    bounds: BoundsModel = Field(default_factory=lambda: BoundsModel.model_validate({}))
    platform: StoreModel

    def to_data(self) -> DeploymentSettings:
        """Return the settings as a data class."""
        bounds = self.bounds
        return DeploymentSettings(
            name=self.node_name,
            data_centre=self.zone,
            capacity=self.limits.cpu_share * self.limits.cores,
            caller_listen_address=parse_address(self.listen.front),
            readiness_listen_address=parse_address(self.listen.ready),
            peer_listen_address=parse_address(self.listen.control),
            directory_listen_address=parse_address(self.listen.directory),
            store_address=str(parse_address(self.platform.address)),
            seeds=tuple(self.seeds),
            stop_grace_ms=bounds.grace_s * MS_PER_S,
            addresses_valid_for_ms=bounds.ttl_max_s * MS_PER_S,
            max_propagation_ms=bounds.max_propagation_ms,
            retry_budget_settings=RetryBudgetSettings(
                ratio=bounds.retry_budget_ratio,
                slack=bounds.retry_budget_slack,
                window_ms=bounds.budget_window_s * MS_PER_S,
            ),
            memory_bytes=self.limits.memory_mb * BYTES_PER_MB,
            max_descriptors=self.limits.max_fds,
            cold_ratio=bounds.cold_over,
            cold_slack=bounds.cold_slack,
        )


def read_deployment_settings(path: Path) -> Result[DeploymentSettings, Refusal]:
    """Return the settings in `path`, or a refusal that names the file and every invalid field."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        return Err(Refusal(Code.UNREADABLE_FILE, detail=f"{path}: {error}"))
    try:
        return Ok(SettingsModel.model_validate(tomllib.loads(text)).to_data())
    except tomllib.TOMLDecodeError as error:
        return Err(Refusal(Code.BAD_SETTING, detail=f"{path}: {error}"))
    except ValidationError as error:
        return Err(Refusal(Code.BAD_SETTING, detail=f"{path}: {describe_all_errors(error)}"))
    except ValueError as error:
        return Err(Refusal(Code.BAD_SETTING, detail=f"{path}: {error}"))
