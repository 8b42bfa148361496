"""Parses the platform's settings file into a data class with this project's terms."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

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
    the process may use. Changes that the operator or an endpoint publishes must reach all instances
    within `max_propagation_ms`.
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


class LimitsModel(PlatformModel):
    """The CPU and memory limits of the process."""

    # Only one thread runs at a time. It gets the share `cpu_share` of a core that is `cores` times
    # as fast as a whole core.
    cpu_share: float = Field(1.0, alias="cpuShare")
    cores: float = 1.0
    memory_mb: int = Field(256, alias="memoryMb", ge=1)


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
            store_address=self.platform.address,
            seeds=tuple(self.seeds),
            stop_grace_ms=bounds.grace_s * MS_PER_S,
            addresses_valid_for_ms=bounds.ttl_max_s * MS_PER_S,
            max_propagation_ms=min(bounds.drain_ms, bounds.config_apply_ms),
            retry_budget_settings=RetryBudgetSettings(
                ratio=bounds.retry_budget_ratio,
                slack=bounds.retry_budget_slack,
                window_ms=bounds.budget_window_s * MS_PER_S,
            ),
            memory_bytes=self.limits.memory_mb * BYTES_PER_MB,
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
