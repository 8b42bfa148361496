"""Parses the operator's configuration into a publication with its routes."""

from hashlib import sha256
from typing import Annotated

import orjson
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from radishmount.border import describe_first_error
from radishmount.codes import Code
from radishmount.platform._settings import MS_PER_S, PlatformModel
from radishmount.publication import Diagnostic, Publication, Service
from radishmount.routes import CallerLimits, Route, RouteTable, WeightedService


__all__ = ["read_configuration"]

IDEMPOTENT_ROUTE_TYPE = "safe"


class SplitServiceModel(PlatformModel):
    """One service of a route that splits its requests by weight."""

    service: str
    weight: Annotated[float, Field(ge=0.0)] = 1.0


class RouteModel(PlatformModel):
    """One route."""

    name: str
    host: str
    prefix: str
    # "safe" means idempotent; any other value means that a request runs at most once.
    route_type: str = Field(alias="routeType")
    # The longest time that a caller waits for the response.
    timeout_ms: Annotated[float, Field(gt=0.0)] = Field(alias="timeoutMs")
    target_latency_ms: float = Field(0.0, alias="targetLatencyMs")
    priority: int = 0
    # The most endpoints of each shard that may run one request, including the first.
    max_attempts: Annotated[int, Field(ge=1)] = Field(1, alias="maxAttempts")
    service: str = ""
    split: list[SplitServiceModel] = []
    shard_services: list[str] = Field([], alias="shardServices")
    top_k: int = Field(0, alias="topK")
    # The share of shards that must reply, from 0 to 1; with fewer the request fails.
    min_part_share: float = Field(1.0, alias="minPartShare")

    def to_data(self) -> Route:
        """Return the route as a data class."""
        split = tuple(WeightedService(part.service, part.weight) for part in self.split)
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            idempotent=self.route_type == IDEMPOTENT_ROUTE_TYPE or bool(self.shard_services),
            timeout_ms=self.timeout_ms,
            target_latency_ms=self.target_latency_ms or self.timeout_ms,
            priority=self.priority,
            max_attempts=self.max_attempts,
            services=(WeightedService(self.service),) if self.service else split,
            shards=tuple(self.shard_services),
            top_records=self.top_k,
            min_share=self.min_part_share,
        )


class ServiceModel(PlatformModel):
    """One service."""

    name: str
    # Connections that an endpoint accepts from all instances in total.
    max_conns: Annotated[int, Field(ge=1)] = Field(1, alias="maxConns")
    cold_start_s: Annotated[float, Field(ge=0.0)] = Field(0.0, alias="coldStartS")
    # Requests that an endpoint takes while it is cold, from all instances in total; zero: any.
    cold_per_s: Annotated[float, Field(ge=0.0)] = Field(0.0, alias="coldPerS")

    def to_data(self) -> Service:
        """Return the service as a data class, without endpoints."""
        return Service(
            self.name,
            0,
            self.max_conns,
            (),
            cold_start_ms=self.cold_start_s * MS_PER_S,
            cold_per_s=self.cold_per_s,
        )


class LimitsModel(PlatformModel):
    """The limits for requests and connections of callers."""

    max_header_bytes: int = Field(16_384, alias="maxHeaderBytes")
    max_body_bytes: int = Field(262_144, alias="maxBodyBytes")
    header_timeout_ms: float = Field(3_000.0, alias="headerTimeoutMs")
    idle_timeout_ms: float = Field(60_000.0, alias="idleTimeoutMs")


class ConfigurationModel(PlatformModel):
    """The whole configuration."""

    version: Annotated[int, Field(ge=1, strict=True)]
    routes: list[RouteModel]
    services: list[ServiceModel]
    limits: LimitsModel = Field(default_factory=lambda: LimitsModel.model_validate({}))

    def to_data(self, digest: str) -> Publication:
        """Return the configuration as a publication without endpoints."""
        services = [service.to_data() for service in self.services]
        limits = self.limits
        return Publication(
            version=self.version,
            digest=digest,
            services_by_name={service.name: service for service in services},
            routes=RouteTable.of(route.to_data() for route in self.routes),
            caller_limits=CallerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                header_timeout_ms=limits.header_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            ),
        )


def read_configuration(body: bytes) -> Result[Publication, list[Diagnostic]]:
    """Return the publication that the JSON in `body` describes, or what is wrong with it."""
    try:
        model = ConfigurationModel.model_validate(orjson.loads(body))
    except orjson.JSONDecodeError as error:
        return Err([Diagnostic(Code.BROKEN_SYNTAX, "configuration", str(error))])
    except ValidationError as error:
        return Err([Diagnostic(Code.BROKEN_OBJECT, "configuration", describe_first_error(error))])
    diagnostics = _check_as_one(model)
    if diagnostics:
        return Err(diagnostics)
    return Ok(model.to_data(sha256(body).hexdigest()[:16]))


def _check_as_one(model: ConfigurationModel) -> list[Diagnostic]:
    """Return what contradicts each other in a configuration whose parts are valid by themselves."""
    diagnostics: list[Diagnostic] = []
    listed = {service.name for service in model.services}
    name_by_target: dict[tuple[str, str], str] = {}
    for route in model.routes:
        target = (route.host.lower(), route.prefix)
        if target in name_by_target:
            detail = f"host and prefix of route {name_by_target[target]}"
            diagnostics.append(Diagnostic(Code.DUPLICATE_OBJECT, f"route {route.name}", detail))
        name_by_target[target] = route.name
        split = [part.service for part in route.split]
        for service in (*filter(None, [route.service]), *split, *route.shard_services):
            if service in listed:
                continue
            diagnostics.append(Diagnostic(Code.DANGLING_REFERENCE, f"route {route.name}", service))
    return diagnostics
