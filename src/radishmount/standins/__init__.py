"""Stand-ins (test doubles) for the platform, endpoints and callers, for tests and trials."""

from radishmount.standins._back_end import BackEndStandIn, ReceivedRequest
from radishmount.standins._behaviour import EndpointBehaviour
from radishmount.standins._caller import CallerStandIn
from radishmount.standins._control import StandInControlClient, StandInControlServer, StandInRecords
from radishmount.standins._endpoint import EndpointStandIn
from radishmount.standins._faults import INSTANCE_FAULTS, run_fault
from radishmount.standins._metrics import EntryUsage, read_usage
from radishmount.standins._network import delayed_channels, link_delay
from radishmount.standins._orders import (
    OrderBehaviour,
    OrderRecord,
    OrderStandIn,
    runs_by_request_id,
)
from radishmount.standins._platform import ListedInstance, PlatformStandIn
from radishmount.standins._relay import Direction, Relay, start_relay
from radishmount.standins._serve import StandInServer, serve_stand_in
from radishmount.standins._simulated_region import (
    PlatformView,
    SimulatedRegion,
    start_simulated_region,
)
from radishmount.standins._store import StoreCopy, StoreStandIn
from radishmount.standins._trial_file import read_trial_file
from radishmount.trial import EndpointRecord


__all__ = [
    "BackEndStandIn",
    "ReceivedRequest",
    "StoreCopy",
    "StoreStandIn",
    "INSTANCE_FAULTS",
    "CallerStandIn",
    "EndpointBehaviour",
    "EndpointRecord",
    "EndpointStandIn",
    "EntryUsage",
    "ListedInstance",
    "OrderBehaviour",
    "OrderRecord",
    "OrderStandIn",
    "PlatformStandIn",
    "PlatformView",
    "SimulatedRegion",
    "Relay",
    "Direction",
    "StandInControlServer",
    "StandInControlClient",
    "StandInRecords",
    "StandInServer",
    "delayed_channels",
    "link_delay",
    "read_trial_file",
    "read_usage",
    "run_fault",
    "runs_by_request_id",
    "serve_stand_in",
    "start_relay",
    "start_simulated_region",
]
