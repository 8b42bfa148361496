"""Reads a trial file, which is JSON with comments, validates it and builds the trial's plan."""

import re
from dataclasses import fields
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BeforeValidator, Field
from result import Err, Ok, Result

from radishmount.border import BorderModel, read_settings
from radishmount.codes import Code, Refusal
from radishmount.policy import QueryPolicy
from radishmount.trial import (
    BoundPlan,
    CollectionPlan,
    FaultKind,
    FaultPlan,
    LoadPlan,
    RegionPlan,
    ServicePlan,
    TrialPlan,
    WindowPlan,
)


__all__ = ["read_trial_file"]

QUANTITY_PATTERN = re.compile(r"^(\d+(?:\.\d+)?)\s*(\S+)$")
MS_BY_UNIT = {"ms": 1.0, "s": 1_000.0}
PER_S_BY_UNIT = {"/s": 1.0}


def _parse_ms(value: object) -> float:
    return _parse_quantity(value, MS_BY_UNIT)


def _parse_per_s(value: object) -> float:
    return _parse_quantity(value, PER_S_BY_UNIT)


def _parse_quantity(value: object, factor_by_unit: dict[str, float]) -> float:
    match = QUANTITY_PATTERN.match(value.strip()) if isinstance(value, str) else None
    if match is None or match[2] not in factor_by_unit:
        raise ValueError(f"{value!r} is not a number with a unit of {', '.join(factor_by_unit)}")
    return float(match[1]) * factor_by_unit[match[2]]


Millis = Annotated[float, BeforeValidator(_parse_ms)]
PerS = Annotated[float, BeforeValidator(_parse_per_s)]
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9._-]+$")]
Count = Annotated[int, Field(ge=1, le=100)]
Ratio = Annotated[float, Field(ge=0.0, le=1.0)]


class ServiceModel(BorderModel):
    """Services with the same properties; if `count` exceeds 1, they are named `NAME-01` and on."""

    name: Name
    count: Count = 1
    endpoints: Count
    slots: Count
    connections: Count
    connect_time: Millis = 0.0
    service_time: Millis = 4.0
    slow_ratio: Ratio = 0.0
    slow_time: Millis = 0.0

    def to_data(self) -> list[ServicePlan]:
        """Return the plans of the services."""
        names = [self.name]
        if self.count > 1:
            names = [f"{self.name}-{number:02d}" for number in range(1, self.count + 1)]
        return [
            ServicePlan(
                name=name,
                endpoints=self.endpoints,
                slots=self.slots,
                connections=self.connections,
                connect_ms=self.connect_time,
                service_ms=self.service_time,
                slow_ratio=self.slow_ratio,
                slow_ms=self.slow_time,
            )
            for name in names
        ]


class CollectionModel(BorderModel):
    """A collection with a shard on every service whose name begins with `services`."""

    name: Name
    services: Name
    parts_per_shard: Count = 1


class RegionModel(BorderModel):
    """The data centres, instances, services and collections, and the delays between them."""

    data_centres: Annotated[list[Name], Field(min_length=1)]
    entries: Count
    services: Annotated[list[ServiceModel], Field(min_length=1)]
    collections: list[CollectionModel] = []
    between_data_centres: Millis = 4.0
    to_callers: Millis = 3.0

    def to_data(self) -> RegionPlan:
        """Return the plan of the region."""
        services = [service for model in self.services for service in model.to_data()]
        collections = []
        for model in self.collections:
            own = tuple(s.name for s in services if s.name.startswith(model.services))
            collections.append(CollectionPlan(model.name, own, model.parts_per_shard))
        return RegionPlan(
            data_centres=tuple(self.data_centres),
            entries=self.entries,
            services=tuple(services),
            collections=tuple(collections),
            between_data_centres_ms=self.between_data_centres,
            to_callers_ms=self.to_callers,
        )


class LoadModel(BorderModel):
    """The calls of one caller to one collection or service."""

    caller: Name
    target: Name
    rate: PerS
    deadline: Millis
    data_centre: Name
    prefer: Literal["coverage", "tail"] = "coverage"
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    quota: PerS = 10_000.0
    hedge_ratio: Ratio = 0.05
    idempotent: bool = True
    repeat_ratio: Ratio = 0.0
    begin: Annotated[Millis, Field(alias="from")] = 0.0
    until: Millis | None = None
    move_on: Millis | None = None

    def to_data(self) -> LoadPlan:
        """Return the plan of the load."""
        return LoadPlan(
            caller=self.caller,
            target=self.target,
            rate_per_s=self.rate,
            deadline_ms=self.deadline,
            data_centre=self.data_centre,
            prefer=self.prefer,
            priority=self.priority,
            quota_per_s=self.quota,
            hedge_ratio=self.hedge_ratio,
            idempotent=self.idempotent,
            repeat_ratio=self.repeat_ratio,
            from_ms=self.begin,
            until_ms=self.until,
            move_on_ms=self.move_on,
        )


class FaultModel(BorderModel):
    """One fault; its kind determines which fields apply."""

    kind: Literal[tuple(kind.value for kind in FaultKind)]  # type: ignore[valid-type]
    at: Millis
    until: Millis | None = None
    targets: list[Name] = []
    factor: Annotated[float, Field(gt=0)] = 1.0
    ratio: Ratio = 0.0
    extra: Millis = 0.0
    version: Annotated[int, Field(ge=0)] = 0
    drop_after: Millis | None = None
    shard: str = ""
    to_service: str = ""

    def to_data(self) -> FaultPlan:
        """Return the plan of the fault."""
        return FaultPlan(
            kind=FaultKind(self.kind),
            at_ms=self.at,
            until_ms=self.until,
            targets=tuple(self.targets),
            factor=self.factor,
            ratio=self.ratio,
            extra_ms=self.extra,
            version=self.version,
            drop_after_ms=self.drop_after,
            shard=self.shard,
            to_service=self.to_service,
        )


class BoundModel(BorderModel):
    """A bound that one figure of the result must meet; `times` names a figure to multiply it by."""

    figure: str
    at_most: float | None = None
    at_least: float | None = None
    times: str = ""


class WindowModel(BorderModel):
    """A named time window of the load."""

    name: Name
    begin: Annotated[Millis, Field(alias="from")]
    until: Millis


class TrialModel(BorderModel):
    """The whole file."""

    name: Name
    seed: int = 1
    warm_up: Millis = 2_000.0
    duration: Millis
    region: RegionModel
    loads: Annotated[list[LoadModel], Field(min_length=1)]
    faults: list[FaultModel] = []
    bounds: list[BoundModel] = []
    windows: list[WindowModel] = []
    policy: dict[str, bool] = {}
    baseline: bool = True
    idle: Millis = 1_000.0

    def to_data(self) -> TrialPlan:
        """Return the plan of the trial."""
        return TrialPlan(
            name=self.name,
            seed=self.seed,
            warm_up_ms=self.warm_up,
            duration_ms=self.duration,
            region=self.region.to_data(),
            loads=tuple(load.to_data() for load in self.loads),
            faults=tuple(fault.to_data() for fault in self.faults),
            bounds=tuple(BoundPlan(b.figure, b.at_most, b.at_least, b.times) for b in self.bounds),
            windows=tuple(WindowPlan(w.name, w.begin, w.until) for w in self.windows),
            policy=self.policy,
            baseline=self.baseline,
            idle_ms=self.idle,
        )


def read_trial_file(path: Path) -> Result[TrialPlan, Refusal]:
    """Return the plan in `path`, or a BAD_SETTING refusal that names the file and the field."""
    read = read_settings(TrialModel, path)
    if isinstance(read, Err):
        return read
    plan = read.ok_value.to_data()
    problem = _find_unknown_name(plan)
    if problem:
        return Err(Refusal(Code.BAD_SETTING, detail=f"{path}: {problem}"))
    return Ok(plan)


def _find_unknown_name(plan: TrialPlan) -> str:
    """Return an error text about the first name that does not exist, empty if all names do."""
    region = plan.region
    mechanisms = {item.name for item in fields(QueryPolicy)}
    for name in plan.policy:
        if name not in mechanisms:
            return f"policy: {name} is not one of {', '.join(sorted(mechanisms))}"
    services = {service.name for service in region.services}
    known_targets = {*services, *region.entry_names()}
    for service in region.services:
        known_targets.update(service.endpoint_names())
    for fault in plan.faults:
        for target in fault.targets:
            if target not in known_targets and fault.kind is not FaultKind.ENTRY_JOIN:
                return f"faults: {fault.kind} names {target}, which the region does not have"
        if fault.to_service and fault.to_service not in services:
            return (
                f"faults: {fault.kind} names service {fault.to_service}, which the region does not"
                " have"
            )
    targets = {*services, *(collection.name for collection in region.collections)}
    for load in plan.loads:
        if load.target not in targets:
            return f"loads: {load.caller} names {load.target}, which the region does not have"
        if load.data_centre not in region.data_centres:
            return (
                f"loads: {load.caller} names data centre {load.data_centre}, which the region does"
                " not have"
            )
    return ""
