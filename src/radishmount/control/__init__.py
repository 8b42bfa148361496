"""What keeps one instance in step with the fleet: platform, peers, versions, pauses, leaving."""

from radishmount.control._control import LEAVING_GRACE_MS, Control, make_control
from radishmount.control._parts import ControlParts, OpenPeerFor, Platform
from radishmount.control._seeded import SeededControl, SeededParts, make_seeded_control


__all__ = [
    "LEAVING_GRACE_MS",
    "Control",
    "ControlParts",
    "OpenPeerFor",
    "Platform",
    "SeededControl",
    "SeededParts",
    "make_control",
    "make_seeded_control",
]
