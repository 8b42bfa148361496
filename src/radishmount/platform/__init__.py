"""The adapter to the users' platform.

It translates the platform's names, formats and calls, and makes no decisions.
"""

from radishmount.platform._backend_channel import (
    BackendChannel,
    Connect,
    make_backend_channel_opener,
)
from radishmount.platform._backend_connection import BackendConnection
from radishmount.platform._configuration import read_configuration
from radishmount.platform._program import RunningInstance, main, start_instance
from radishmount.platform._setting_effects import SETTING_EFFECTS, Effect, changed_keys
from radishmount.platform._settings import DeploymentSettings, read_deployment_settings
from radishmount.platform._store_client import read_listed_endpoint


__all__ = [
    "BackendChannel",
    "BackendConnection",
    "Connect",
    "DeploymentSettings",
    "Effect",
    "RunningInstance",
    "SETTING_EFFECTS",
    "changed_keys",
    "main",
    "make_backend_channel_opener",
    "read_configuration",
    "read_deployment_settings",
    "read_listed_endpoint",
    "start_instance",
]
