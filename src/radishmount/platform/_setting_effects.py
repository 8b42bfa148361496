"""Which settings take effect while an instance runs, and which at its next start."""

from dataclasses import dataclass
from enum import StrEnum

from radishmount.platform._settings import DeploymentSettings


__all__ = ["SETTING_EFFECTS", "Effect", "SettingEffect", "changed_keys"]


class Effect(StrEnum):
    """When a changed setting takes effect."""

    AT_ONCE = "at once"
    AT_NEXT_START = "at the next start"


@dataclass(frozen=True, slots=True)
class SettingEffect:
    """When a change of the keys of the settings file behind one field takes effect."""

    field: str
    keys: str
    effect: Effect


# An instance is known to its peers by its name, its place and its addresses, and it divides its
# memory and descriptors among its ports when these are opened.
SETTING_EFFECTS = (
    SettingEffect("name", "nodeName", Effect.AT_NEXT_START),
    SettingEffect("data_centre", "zone", Effect.AT_NEXT_START),
    SettingEffect("capacity", "limits.cpuShare, limits.cores", Effect.AT_NEXT_START),
    SettingEffect("caller_listen_address", "listen.front", Effect.AT_NEXT_START),
    SettingEffect("readiness_listen_address", "listen.ready", Effect.AT_NEXT_START),
    SettingEffect("peer_listen_address", "listen.control", Effect.AT_NEXT_START),
    SettingEffect("directory_listen_address", "listen.directory", Effect.AT_NEXT_START),
    SettingEffect("memory_bytes", "limits.memoryMb", Effect.AT_NEXT_START),
    SettingEffect("max_descriptors", "limits.maxFds", Effect.AT_NEXT_START),
    SettingEffect("store_address", "platform.address", Effect.AT_ONCE),
    SettingEffect("seeds", "seeds", Effect.AT_ONCE),
    SettingEffect("stop_grace_ms", "bounds.graceS", Effect.AT_ONCE),
    SettingEffect("addresses_valid_for_ms", "bounds.ttl_max_s", Effect.AT_ONCE),
    SettingEffect(
        "max_propagation_ms",
        "bounds.drainMs, bounds.configApplyMs, bounds.evacuateMs",
        Effect.AT_ONCE,
    ),
    SettingEffect(
        "retry_budget_settings",
        "bounds.retryBudgetRatio, bounds.retryBudgetSlack, bounds.budgetWindowS",
        Effect.AT_ONCE,
    ),
    SettingEffect("cold_ratio", "bounds.coldOver", Effect.AT_ONCE),
    SettingEffect("cold_slack", "bounds.coldSlack", Effect.AT_ONCE),
)


def changed_keys(
    effect: Effect, before: DeploymentSettings, after: DeploymentSettings
) -> list[str]:
    """Return the keys whose values differ, of those that take effect as `effect` says."""
    return [
        setting.keys
        for setting in SETTING_EFFECTS
        if setting.effect is effect
        and getattr(before, setting.field) != getattr(after, setting.field)
    ]
