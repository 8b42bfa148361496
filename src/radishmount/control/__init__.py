"""What keeps one instance in step with the fleet: platform, peers, versions, pauses, leaving."""

from radishmount.control._control import LEAVING_GRACE_MS, Control, make_control
from radishmount.control._parts import ControlParts, OpenPeerFor, Platform


__all__ = [
    "LEAVING_GRACE_MS",
    "Control",
    "ControlParts",
    "OpenPeerFor",
    "Platform",
    "make_control",
]
