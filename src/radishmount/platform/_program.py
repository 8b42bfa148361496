"""The program that the platform runs on each machine: one instance, from its settings."""

import asyncio
import gc
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from random import Random

from aiohttp import web
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border import (
    ENDPOINT_PEER_MODELS,
    ConnectionLimits,
    PeerCredentials,
    PeerServer,
    Server,
    SocketAddress,
    make_peer_opener,
    register_peer_models,
    serve_low_level,
    serve_peers,
)
from radishmount.clock import Clock, suspend_aware_clock
from radishmount.codes import Refusal
from radishmount.counters import Counters
from radishmount.fleet import Instance
from radishmount.gateway import Gateway, GatewayDependencies, make_gateway
from radishmount.platform._backend_channel import open_backend_channel
from radishmount.platform._configuration import read_configuration
from radishmount.platform._ingress import (
    make_caller_server,
    make_directory_server,
    make_readiness_server,
)
from radishmount.platform._protocol_names import BOOT_VARIABLE
from radishmount.platform._settings import DeploymentSettings, read_deployment_settings
from radishmount.platform._store_client import HttpStoreClient
from radishmount.programs import (
    Exit,
    audit_log,
    log_line,
    log_state_change,
    run_program,
    set_up_logging,
    tell_error,
)


__all__ = ["main"]

PROGRAM = "radishmount-platform"
OPERATORS_AFTER_MS = 1_000.0  # a start under load first answers callers
SETTINGS_CHECK_S = 1.0  # one look at the file costs some microseconds
PEER_KEY = b"radishmount "  # the platform hands out no secret; this only tells fleets apart
CALLERS_MOVE_SHARE = 0.4  # of the time of grace; callers that ask for addresses again have moved
IDLE_FACTOR = 1.25  # of the idle limit, so that a caller that keeps to it never meets the close
FINISH_SHARE = 0.4  # of the time of grace, for requests that came last; the rest is for closing


@dataclass(slots=True)
class RunningInstance:
    """An instance that is served on the addresses of its settings."""

    gateway: Gateway
    servers: list[Server]
    peers: PeerServer

    def apply_settings(self, settings: DeploymentSettings) -> None:
        """Act on settings that have changed; addresses hold until the next start."""
        self.gateway.control.roster.seeds = settings.seeds
        self.gateway.forward_context.retry_budget.update_settings(settings.repeats)
        self.gateway.follower.changes_due_ms = settings.changes_due_ms

    async def leave(self, grace_ms: float) -> None:
        """Stop gracefully: nothing new is named here, and what is in flight is finished."""
        self.gateway.leave()
        await self.gateway.dependencies.clock.sleep_ms(CALLERS_MOVE_SHARE * grace_ms)
        await asyncio.gather(*(server.stop() for server in self.servers))
        await self.peers.stop()
        await self.gateway.stop()


async def start_instance(
    settings: DeploymentSettings, clock: Clock, random: Random, audit: AuditTrail
) -> Result[RunningInstance, Refusal]:
    """Start an instance from its settings."""
    register_peer_models(*ENDPOINT_PEER_MODELS)
    counters = Counters()
    key = PEER_KEY + str(settings.peer_listen_address.port).encode()  # the same on all of a fleet
    parts = GatewayDependencies(
        own=Instance(
            settings.name,
            settings.data_centre,
            str(settings.caller_listen_address),
            str(settings.peer_listen_address),
            capacity=settings.capacity,
        ),
        seeds=settings.seeds,
        clock=clock,
        random=random,
        store=HttpStoreClient(settings.store_address),
        open_channel=open_backend_channel,
        open_peer_for=lambda members, counters: make_peer_opener(
            PeerCredentials(key, members, clock.cpu_ms), counters
        ),
        read_bundle=read_configuration,
        bounds=settings.repeats,
        addresses_valid_for_ms=settings.addresses_valid_for_ms,
        changes_due_ms=settings.changes_due_ms,
        emit=log_line,
    )
    gateway = make_gateway(parts, audit, counters)
    served: list[tuple[web.Server, SocketAddress]] = [
        (make_caller_server(gateway), settings.caller_listen_address),
        (make_readiness_server(gateway), settings.readiness_listen_address),
        (make_directory_server(gateway), settings.directory_listen_address),
    ]

    def caller_limits() -> ConnectionLimits:
        limits = gateway.publication.caller_limits
        idle_s = IDLE_FACTOR * limits.idle_timeout_ms / 1000.0
        return ConnectionLimits(idle_s, limits.max_header_bytes, limits.header_timeout_ms / 1000.0)

    finish_s = FINISH_SHARE * settings.stop_grace_ms / 1000.0
    servers = []
    for manager, listen in served:
        match await serve_low_level(
            manager, listen, shutdown_timeout_s=finish_s, limits=caller_limits
        ):
            case Err(refusal):
                return Err(refusal)
            case Ok(server):
                servers.append(server)
    own = PeerCredentials(key, gateway.control.fleet.members, clock.cpu_ms)
    accept = gateway.control.peers.accept
    match await serve_peers(settings.peer_listen_address, own, counters, accept):
        case Err(refusal):
            return Err(refusal)
        case Ok(peers):
            gateway.start()
            return Ok(RunningInstance(gateway, servers, peers))


@dataclass(slots=True)
class SettingsFile:
    """The settings file, and what told its content apart just before it was last read.

    So a change that comes while the instance starts is seen later.
    """

    path: Path
    stamp: tuple[int, int]


class RunCommand(Command):
    """The only command of the program."""

    name = PROGRAM
    description = "Runs one instance from the platform's settings."
    options = [
        option("metrics-port", None, "Where operators read; none by default.", flag=False),
        option("settings", "s", f"The settings file; {BOOT_VARIABLE} by default.", flag=False),
        option("check", None, "Only check the settings."),
    ]

    def handle(self) -> int:
        """Run until a signal asks for a graceful stop."""
        path = self.option("settings") or os.environ.get(BOOT_VARIABLE, "")
        if not path:
            tell_error(self, f"{PROGRAM} needs --settings FILE or {BOOT_VARIABLE}")
            return Exit.BAD_USAGE
        stamp = _stamp_of(Path(path))
        match read_deployment_settings(Path(path)):
            case Err(refusal):
                tell_error(self, f"{PROGRAM}: {refusal}")
                return Exit.BAD_USAGE
            case Ok(settings):
                pass
        if self.option("check"):
            return Exit.OK
        port = self.option("metrics-port") or ""
        if port and not port.isdecimal():
            tell_error(self, f"{PROGRAM}: --metrics-port takes a number")
            return Exit.BAD_USAGE
        file = SettingsFile(Path(path), stamp)
        return asyncio.run(_run(file, settings, int(port) if port else None))


async def _follow_settings(
    file: SettingsFile, reload: asyncio.Event, instance: RunningInstance
) -> None:
    """Take the settings file again when it has changed, with a signal or without one."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload.wait()
        except TimeoutError:
            if _stamp_of(file.path) == file.stamp:
                continue
        reload.clear()
        file.stamp = _stamp_of(file.path)
        match read_deployment_settings(file.path):
            case Err(refusal):
                log_state_change("settings refused", cause=str(refusal))
            case Ok(settings):
                instance.apply_settings(settings)
                log_state_change("settings reloaded", seeds=",".join(settings.seeds))


def _stamp_of(path: Path) -> tuple[int, int]:
    """Return what tells one content of the file from the next, zeros while it is not there."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)  # the reading that follows tells why
    return (status.st_mtime_ns, status.st_size)


async def _serve_operators(instance: RunningInstance, listen: SocketAddress) -> None:
    """Serve metrics, status, audit and explanations; an instance runs on without them.

    What they need is imported here, after the callers are served.
    """
    await instance.gateway.dependencies.clock.sleep_ms(OPERATORS_AFTER_MS)
    from radishmount.border import RequestMetrics, make_operator_app, serve

    metrics = RequestMetrics()
    instance.gateway.forward_context.observe = metrics.observe
    match await serve(make_operator_app(instance.gateway, metrics), listen):
        case Err(refusal):
            log_state_change("metrics not served", cause=str(refusal))
        case Ok(server):
            instance.servers.append(server)


async def _run(file: SettingsFile, settings: DeploymentSettings, metrics_port: int | None) -> int:
    output = set_up_logging(settings.name)
    loop = asyncio.get_running_loop()
    clock = suspend_aware_clock(loop)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    audit = AuditTrail(clock, emit=audit_log)
    started = await start_instance(settings, clock, Random(), audit)
    if isinstance(started, Err):
        sys.stderr.write(f"{PROGRAM}: {started.err_value}\n")
        return Exit.UNREACHABLE
    gc.freeze()  # what the start made stays; collections need not look at it again
    gc.enable()
    log_state_change("serving", callers=str(settings.caller_listen_address))
    instance = started.ok_value
    tasks = [asyncio.create_task(output.run(), name="write log")]
    if metrics_port is not None:
        listen = SocketAddress(settings.caller_listen_address.host, metrics_port)
        serving = _serve_operators(instance, listen)
        tasks.append(asyncio.create_task(serving, name="serve operators"))
    following = _follow_settings(file, reload, instance)
    tasks.append(asyncio.create_task(following, name="follow settings"))
    await stop.wait()
    log_state_change("leaving")
    await instance.leave(settings.stop_grace_ms)
    log_state_change("stopped")
    for task in tasks:
        task.cancel()
    output.flush()
    return Exit.OK


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [RunCommand()]))
