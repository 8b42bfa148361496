"""What keeps one instance in step with the fleet: platform, peers, versions, pauses, leaving."""

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
