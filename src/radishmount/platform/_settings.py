"""The settings file of the platform, read into a type with this project's words."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from radishmount.border import SocketAddress, describe_all_errors, parse_address
from radishmount.codes import Code, Refusal
from radishmount.forwarding import RetryBudgetSettings


__all__ = ["DeploymentSettings", "read_deployment_settings"]

S_TO_MS = 1000.0


@dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """What an instance is told at its start. Times are in milliseconds.

    `seeds` are peer addresses of at most three instances, any of which may be stale or down.
    `capacity` is the processor's speed compared with a whole core; `changes_due_ms` is when what
    the operator or an endpoint says is to be known everywhere.
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
    changes_due_ms: float
    repeats: RetryBudgetSettings


class PlatformModel(BaseModel):
    """New fields may come at any time; those that are not known are passed over."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ListenModel(PlatformModel):
    """The addresses for what the process serves."""

    front: str
    ready: str
    control: str
    directory: str


class BoundsModel(PlatformModel):
    """The figures of the rules in force, of those that this project acts on."""

    grace_s: float = Field(5.0, alias="graceS")
    drain_ms: float = Field(3_000.0, alias="drainMs")
    config_apply_ms: float = Field(3_000.0, alias="configApplyMs")
    retry_budget_ratio: float = Field(0.0, alias="retryBudgetRatio")
    budget_window_s: float = Field(10.0, alias="budgetWindowS")
    retry_budget_slack: float = Field(0.0, alias="retryBudgetSlack")
    ttl_max_s: float = Field(5.0, alias="ttl_max_s")


class ProcessorModel(PlatformModel):
    """What the process may use of its machine."""

    # The share of a core that it gets, `cores` times as fast; one thread runs at a time.
    cpu_share: float = Field(1.0, alias="cpuShare")
    cores: float = 1.0


class StoreModel(PlatformModel):
    """Where the platform's store is."""

    address: str


class SettingsModel(PlatformModel):
    """The settings file."""

    node_name: str = Field(alias="nodeName")
    zone: str
    seeds: list[str] = []
    listen: ListenModel
    limits: ProcessorModel = Field(default_factory=lambda: ProcessorModel.model_validate({}))
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
            stop_grace_ms=bounds.grace_s * S_TO_MS,
            addresses_valid_for_ms=bounds.ttl_max_s * S_TO_MS,
            changes_due_ms=min(bounds.drain_ms, bounds.config_apply_ms),
            repeats=RetryBudgetSettings(
                ratio=bounds.retry_budget_ratio,
                slack=bounds.retry_budget_slack,
                window_ms=bounds.budget_window_s * S_TO_MS,
            ),
        )


def read_deployment_settings(path: Path) -> Result[DeploymentSettings, Refusal]:
    """Return the settings in `path`, or a refusal that names the file and every wrong field."""
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
