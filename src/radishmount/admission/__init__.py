"""Admission control: quotas by caller, priorities, queue limits and early refusal."""

from radishmount.admission._admission import Admission, SlotShareOf
from radishmount.admission._concurrency_limit import ConcurrencyLimit
from radishmount.admission._demand import RoomRequest
from radishmount.admission._queue import AdmissionQueue, Permit, QueuedPerSlotOf
from radishmount.admission._quota import Quotas, TokenBucket
from radishmount.admission._room_admission import RoomAdmission, RoomCause
from radishmount.admission._service_room import ServiceRoom
from radishmount.admission._slots import queued_per_slot, share_of_slots


__all__ = [
    "Admission",
    "ConcurrencyLimit",
    "QueuedPerSlotOf",
    "AdmissionQueue",
    "Permit",
    "Quotas",
    "RoomAdmission",
    "RoomCause",
    "RoomRequest",
    "ServiceRoom",
    "SlotShareOf",
    "TokenBucket",
    "queued_per_slot",
    "share_of_slots",
]
