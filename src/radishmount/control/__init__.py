"""The control plane of an instance, which keeps it up to date with the platform and its peers."""

from radishmount.control._control_plane import LEAVING_GRACE_MS, ControlPlane, make_control_plane
from radishmount.control._dependencies import ControlPlaneDependencies, OpenPeerFor, Platform
from radishmount.control._seeded_control_plane import (
    SeededControlPlane,
    SeededControlPlaneDependencies,
    make_seeded_control_plane,
)


__all__ = [
    "LEAVING_GRACE_MS",
    "ControlPlane",
    "ControlPlaneDependencies",
    "OpenPeerFor",
    "Platform",
    "SeededControlPlane",
    "SeededControlPlaneDependencies",
    "make_control_plane",
    "make_seeded_control_plane",
]
