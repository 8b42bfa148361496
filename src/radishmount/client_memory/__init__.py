"""How much an instance holds for its clients and of responses, and who has to go beyond that."""

from radishmount.client_memory._account import Activity, ConnectionAccount
from radishmount.client_memory._eviction import (
    choose_evictions,
    choose_for_new,
    choose_idle,
    choose_stalled,
)
from radishmount.client_memory._limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    Port,
    PortLimits,
    divide_limits,
)
from radishmount.client_memory._memory import ClientMemory
from radishmount.client_memory._port_account import PortAccount
from radishmount.client_memory._response_body import MIN_COUNTED_BYTES, ResponseBody
from radishmount.client_memory._response_limits import (
    DEFAULT_MAX_RESPONSE_BYTES,
    ResponseAccount,
    ResponseLimits,
    choose_responses_to_reject,
)


__all__ = [
    "Activity",
    "ClientMemory",
    "ConnectionAccount",
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MAX_RESPONSE_BYTES",
    "DEFAULT_MEMORY_BYTES",
    "MIN_COUNTED_BYTES",
    "Port",
    "PortAccount",
    "PortLimits",
    "ResponseAccount",
    "ResponseBody",
    "ResponseLimits",
    "choose_evictions",
    "choose_for_new",
    "choose_idle",
    "choose_responses_to_reject",
    "choose_stalled",
    "divide_limits",
]
