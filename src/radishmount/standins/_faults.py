"""Applies the faults of a trial to the stand-ins and reverts them."""

import asyncio
from collections.abc import Awaitable, Callable

from radishmount.standins._endpoint import EndpointStandIn
from radishmount.standins._platform import ListedInstance
from radishmount.standins._simulated_region import SimulatedRegion
from radishmount.trial import FaultKind, FaultPlan


__all__ = ["INSTANCE_FAULTS", "run_fault"]

INSTANCE_FAULTS = frozenset(
    {
        FaultKind.ENTRY_JOIN,
        FaultKind.ENTRY_STOP,
        FaultKind.ENTRY_VANISH,
        FaultKind.ENTRY_PAUSE,
        FaultKind.PARTITION,
    }
)
INSTANCE_LIST_DELAY_S = 1.0
INDEX_ROLLOUT_S = 0.2

Undo = Callable[[], Awaitable[None]]


async def run_fault(simulated_region: SimulatedRegion, fault: FaultPlan) -> None:
    """Apply `fault` to the stand-ins now, and revert it at its end if it has one."""
    for endpoint in simulated_region.endpoints_named(fault.targets):
        await _apply_to_endpoint(simulated_region, endpoint, fault)
    if fault.kind in (FaultKind.PLATFORM_DOWN, FaultKind.PLATFORM_STALE):
        await _set_platform_fault(simulated_region, fault, is_active=True)
    if fault.kind is FaultKind.INDEX:
        await _roll_out_index(simulated_region, fault)
    if fault.kind is FaultKind.REPARTITION:
        simulated_region.repartitions.append(fault)
        await simulated_region.publish()
        await _roll_out_index(simulated_region, fault)
    if fault.kind is FaultKind.PUBLISH:
        await simulated_region.publish()
    if fault.until_ms is None:
        return
    await asyncio.sleep((fault.until_ms - fault.at_ms) / 1000.0)
    for endpoint in simulated_region.endpoints_named(fault.targets):
        await _revert_on_endpoint(simulated_region, endpoint, fault)
    if fault.kind in (FaultKind.PLATFORM_DOWN, FaultKind.PLATFORM_STALE):
        await _set_platform_fault(simulated_region, fault, is_active=False)


async def _apply_to_endpoint(
    simulated_region: SimulatedRegion, endpoint: EndpointStandIn, fault: FaultPlan
) -> None:
    behaviour = endpoint.behaviour
    now_ms = endpoint.now_ms()
    match fault.kind:
        case FaultKind.SLOW:
            behaviour.slow_factor = fault.factor
        case FaultKind.RANDOM_SLOW:
            behaviour.slow_ratio, behaviour.slow_ms = fault.ratio, fault.extra_ms
        case FaultKind.LOST:
            assert endpoint.server is not None
            await endpoint.server.kill()
        case FaultKind.SILENT:
            behaviour.silent = True
        case FaultKind.SILENT_CONNECTIONS:
            behaviour.silent_before_ms = now_ms
        case FaultKind.SHEDDING:
            behaviour.shedding = True
        case FaultKind.LEAVING | FaultKind.LEAVING_UNSAID:
            behaviour.leaving_since_ms = now_ms
            behaviour.draining = fault.kind is FaultKind.LEAVING
            await asyncio.sleep(INSTANCE_LIST_DELAY_S)
            await simulated_region.list_instances(
                _listed_instance(simulated_region, endpoint, "leaving")
            )
        case FaultKind.LYING:
            behaviour.reported_in_flight = 0
        case FaultKind.COLD_START:
            behaviour.cold_factor, behaviour.cold_from_ms = fault.factor, now_ms
            behaviour.cold_until_ms = now_ms + fault.extra_ms


async def _revert_on_endpoint(
    simulated_region: SimulatedRegion, endpoint: EndpointStandIn, fault: FaultPlan
) -> None:
    behaviour = endpoint.behaviour
    match fault.kind:
        case FaultKind.SLOW:
            behaviour.slow_factor = 1.0
        case FaultKind.RANDOM_SLOW:
            behaviour.slow_ratio = 0.0
        case FaultKind.LOST:
            assert endpoint.server is not None
            behaviour.cold_factor, behaviour.cold_from_ms = fault.factor, endpoint.now_ms()
            behaviour.cold_until_ms = endpoint.now_ms() + fault.extra_ms
            await endpoint.server.restart()
        case FaultKind.SILENT:
            behaviour.silent = False
        case FaultKind.SHEDDING:
            behaviour.shedding = False
        case FaultKind.LEAVING | FaultKind.LEAVING_UNSAID:
            behaviour.leaving_since_ms = None
            behaviour.draining = False
            await simulated_region.list_instances(
                _listed_instance(simulated_region, endpoint, "live")
            )
        case FaultKind.LYING:
            behaviour.reported_in_flight = None


def _listed_instance(
    simulated_region: SimulatedRegion, endpoint: EndpointStandIn, state: str
) -> ListedInstance:
    region = simulated_region.plan.region
    for service in region.services:
        if service.name == endpoint.service:
            index = service.endpoint_names().index(endpoint.name)
            return ListedInstance(endpoint.name, "endpoint", region.data_centre_of(index), state)
    raise KeyError(endpoint.name)


async def _set_platform_fault(
    simulated_region: SimulatedRegion, fault: FaultPlan, *, is_active: bool
) -> None:
    for view in simulated_region.views_of(fault.targets):
        if fault.kind is FaultKind.PLATFORM_STALE:
            view.stale = is_active
        else:
            await view.platform.set_down(is_active)
        if not is_active:
            await simulated_region.refresh(view)


async def _roll_out_index(simulated_region: SimulatedRegion, fault: FaultPlan) -> None:
    """Add a new index version to the endpoints one by one, and later drop the older ones."""
    for endpoint in simulated_region.endpoints_by_name.values():
        endpoint.versions.add(fault.version)
        await asyncio.sleep(INDEX_ROLLOUT_S / len(simulated_region.endpoints_by_name))
    simulated_region.index_version = fault.version
    if fault.drop_after_ms is None:
        return
    await asyncio.sleep(fault.drop_after_ms / 1000.0)
    for endpoint in simulated_region.endpoints_by_name.values():
        endpoint.versions = {version for version in endpoint.versions if version >= fault.version}
        await asyncio.sleep(INDEX_ROLLOUT_S / len(simulated_region.endpoints_by_name))
