"""The program that the platform runs on each machine: one instance, started from its settings."""

import asyncio
import gc
import os
import signal
import sys
from dataclasses import dataclass, field
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
from radishmount.client_memory import (
    DEFAULT_MAX_RESPONSE_BYTES,
    ClientMemory,
    Port,
    ResponseLimits,
)
from radishmount.clock import Clock, suspend_aware_clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.endpoints import ColdRateSettings
from radishmount.fleet import Instance
from radishmount.gateway import Gateway, GatewayDependencies, make_gateway
from radishmount.platform._backend_channel import make_backend_channel_opener
from radishmount.platform._configuration import read_configuration
from radishmount.platform._ingress import (
    make_caller_server,
    make_directory_server,
    make_readiness_server,
)
from radishmount.platform._protocol_names import BOOT_VARIABLE
from radishmount.platform._setting_effects import Effect, changed_keys
from radishmount.platform._settings import DeploymentSettings, read_deployment_settings
from radishmount.platform._store_client import HttpStoreClient
from radishmount.programs import (
    Exit,
    log_audit_line,
    log_line,
    log_state_change,
    print_error_line,
    run_program,
    set_up_logging,
)


__all__ = ["main"]

PROGRAM = "radishmount-platform"
HIGHEST_PORT = 65_535
HIGHEST_RESPONSE_BYTES = 1024 * 1024 * 1024
OPERATOR_SERVER_DELAY_MS = 1_000.0  # under load, a starting instance serves callers first
SETTINGS_POLL_INTERVAL_S = 1.0  # a stat of the file takes some microseconds
# The platform provides no secret, so the peer key only keeps fleets apart.
PEER_KEY_PREFIX = b"radishmount "
# Of the memory limit; a response is held once as it arrives and once when it is joined.
RESPONSE_MEMORY_SHARE = 0.2
# The share of the grace period that callers get to resolve addresses again and move elsewhere.
CALLER_MIGRATION_SHARE = 0.4
# Times the published idle limit: a caller that respects the limit never races with the close.
IDLE_TIMEOUT_FACTOR = 1.25
# Requests that come later than this share of the grace period are refused: what is left would be
# too short for some of them.
ACCEPT_SHARE = 0.5
# Until this share of the grace period all requests are answered; the rest is for closing
# connections and streams.
ANSWER_SHARE = 0.85
CLOSE_TIMEOUT_S = 0.1  # for connections that are left after that

# Modification time, size, time of the last change of the inode, number of the inode.
Fingerprint = tuple[int, int, int, int]


@dataclass(slots=True)
class RunningInstance:
    """A running instance with its servers.

    `servers` are those for callers, readiness and the directory, in this order, then that for
    operators once it is started. `settings` are the newest ones, `started_settings` those of which
    some hold until the next start.
    """

    gateway: Gateway
    servers: list[Server]
    peers: PeerServer
    client_memory: ClientMemory
    started_settings: DeploymentSettings
    settings: DeploymentSettings = field(init=False)

    def __post_init__(self) -> None:
        """Begin with the settings of the start."""
        self.settings = self.started_settings

    def apply_settings(self, settings: DeploymentSettings) -> None:
        """Apply the changed settings that take effect at once by `SETTING_EFFECTS`."""
        if settings.store_address != self.settings.store_address:
            self.gateway.follower.follow(HttpStoreClient(settings.store_address))
        self.settings = settings
        self.gateway.apply_seeds(settings.seeds)
        self.gateway.addresses_valid_for_ms = settings.addresses_valid_for_ms
        self.gateway.forward_context.retry_budget.update_settings(settings.retry_budget_settings)
        self.gateway.pool.cold_rate_settings = _cold_rate_settings(settings)
        self.gateway.follower.max_propagation_ms = settings.max_propagation_ms

    async def leave(self) -> None:
        """Shut down gracefully within the grace period of the settings.

        The instance is no longer handed out to callers. Each response closes its connection, and
        callers may still connect while they move elsewhere. Then idle connections are closed, and
        the requests that have been taken, or are still being read, are answered.
        """
        grace_ms = self.settings.stop_grace_ms
        callers = self.servers[0]
        self.gateway.leave(ACCEPT_SHARE * grace_ms, ANSWER_SHARE * grace_ms)
        await self.gateway.dependencies.clock.sleep_ms(CALLER_MIGRATION_SHARE * grace_ms)
        await callers.drain((ANSWER_SHARE - CALLER_MIGRATION_SHARE) * grace_ms / 1000.0)
        await asyncio.gather(*(server.stop() for server in self.servers))
        await self.peers.stop()
        await self.gateway.stop()


async def start_instance(
    settings: DeploymentSettings,
    clock: Clock,
    random: Random,
    audit: AuditTrail,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
) -> Result[RunningInstance, Refusal]:
    """Start an instance from its settings; a refusal names the address that cannot be bound."""
    register_peer_models(*ENDPOINT_PEER_MODELS)
    counters = Counters()
    response_limits = ResponseLimits(
        max_response_bytes, int(RESPONSE_MEMORY_SHARE * settings.memory_bytes)
    )
    # The peer port is the same in the whole fleet.
    key = PEER_KEY_PREFIX + str(settings.peer_listen_address.port).encode()
    dependencies = GatewayDependencies(
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
        open_channel=make_backend_channel_opener(response_limits),
        open_peer_for=lambda members, counters: make_peer_opener(
            PeerCredentials(key, members, clock.cpu_ms), counters
        ),
        read_bundle=read_configuration,
        retry_budget_settings=settings.retry_budget_settings,
        addresses_valid_for_ms=settings.addresses_valid_for_ms,
        max_propagation_ms=settings.max_propagation_ms,
        cold_rate_settings=_cold_rate_settings(settings),
        emit=log_line,
    )
    gateway = make_gateway(dependencies, audit, counters)
    client_memory = ClientMemory(
        clock, counters, audit, settings.memory_bytes, settings.max_descriptors
    )
    gateway.more_gauges.append(client_memory.gauges)
    servers_to_start: list[tuple[web.Server, SocketAddress, Port]] = [
        (make_caller_server(gateway), settings.caller_listen_address, Port.CALLERS),
        (make_readiness_server(gateway), settings.readiness_listen_address, Port.READINESS),
        (make_directory_server(gateway), settings.directory_listen_address, Port.DIRECTORY),
    ]

    def caller_limits() -> ConnectionLimits:
        limits = gateway.publication.caller_limits
        idle_s = IDLE_TIMEOUT_FACTOR * limits.idle_timeout_ms / 1000.0
        return ConnectionLimits(idle_s, limits.max_header_bytes, limits.header_timeout_ms / 1000.0)

    servers = []
    for manager, address, port in servers_to_start:
        match await serve_low_level(
            manager,
            address,
            port_account=client_memory.by_port[port],
            shutdown_timeout_s=CLOSE_TIMEOUT_S,
            limits=caller_limits,
            is_leaving=gateway.is_leaving,
        ):
            case Err(refusal):
                return Err(refusal)
            case Ok(server):
                servers.append(server)
    credentials = PeerCredentials(key, gateway.control.fleet.members, clock.cpu_ms)
    accept = gateway.control.peers.accept
    peers_account = client_memory.by_port[Port.PEERS]
    match await serve_peers(
        settings.peer_listen_address, credentials, counters, accept, peers_account
    ):
        case Err(refusal):
            return Err(refusal)
        case Ok(peers):
            gateway.start()
            return Ok(RunningInstance(gateway, servers, peers, client_memory, settings))


@dataclass(slots=True)
class SettingsFile:
    """The settings file, and its fingerprint from just before it was last read.

    As the fingerprint is older than the read, a change during the start is noticed afterwards.
    """

    path: Path
    fingerprint: Fingerprint


class RunCommand(Command):
    """The only command of the program."""

    name = PROGRAM
    description = "Runs one instance from the platform's settings."
    options = [
        option("metrics-port", None, "The port for operators; none by default.", flag=False),
        option("settings", "s", f"The settings file; {BOOT_VARIABLE} by default.", flag=False),
        option(
            "max-response-bytes",
            None,
            "The largest response of an endpoint, in bytes; "
            f"{DEFAULT_MAX_RESPONSE_BYTES} by default.",
            flag=False,
        ),
        option("check", None, "Only check the settings."),
    ]

    def handle(self) -> int:
        """Run until a signal asks for a graceful stop."""
        path = self.option("settings") or os.environ.get(BOOT_VARIABLE, "")
        if not path:
            print_error_line(self, f"{PROGRAM} needs --settings FILE or {BOOT_VARIABLE}")
            return Exit.BAD_USAGE
        port = self._number("metrics-port", HIGHEST_PORT)
        max_response_bytes = self._number("max-response-bytes", HIGHEST_RESPONSE_BYTES)
        if isinstance(port, Err):
            print_error_line(self, f"{PROGRAM}: {port.err_value}")
            return Exit.BAD_USAGE
        if isinstance(max_response_bytes, Err):
            print_error_line(self, f"{PROGRAM}: {max_response_bytes.err_value}")
            return Exit.BAD_USAGE
        fingerprint = fingerprint_of(Path(path))
        match read_deployment_settings(Path(path)):
            case Err(refusal):
                print_error_line(self, f"{PROGRAM}: {refusal}")
                return Exit.BAD_USAGE
            case Ok(settings):
                pass
        if self.option("check"):
            return Exit.OK
        file = SettingsFile(Path(path), fingerprint)
        return asyncio.run(
            _run(
                file,
                settings,
                port.ok_value,
                max_response_bytes.ok_value or DEFAULT_MAX_RESPONSE_BYTES,
            )
        )

    def _number(self, name: str, highest: int) -> Result[int | None, Refusal]:
        """Return the number given for an option, none if it was not given."""
        text = self.option(name) or ""
        if not text:
            return Ok(None)
        if not text.isdecimal() or not 1 <= int(text) <= highest:
            detail = f"--{name} takes a number from 1 to {highest}"
            return Err(Refusal(Code.BAD_SETTING, detail=detail))
        return Ok(int(text))


async def _reload_settings_on_change(
    file: SettingsFile, reload: asyncio.Event, instance: RunningInstance
) -> None:
    """Reload the settings file on SIGHUP, and when its fingerprint changes."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload.wait()
        except TimeoutError:
            if fingerprint_of(file.path) == file.fingerprint:
                continue
        reload.clear()
        fingerprint = fingerprint_of(file.path)
        match read_deployment_settings(file.path):
            case Err(refusal):
                log_state_change("settings refused", cause=str(refusal))
            case Ok(settings):
                _log_reload(instance, settings)
                instance.apply_settings(settings)
        file.fingerprint = fingerprint


def _log_reload(instance: RunningInstance, settings: DeploymentSettings) -> None:
    """Log which keys have changed and take effect now, and which wait for the next start."""
    at_next_start = changed_keys(Effect.AT_NEXT_START, instance.started_settings, settings)
    log_state_change(
        "settings reloaded",
        at_once=", ".join(changed_keys(Effect.AT_ONCE, instance.settings, settings)),
        at_next_start=", ".join(at_next_start),
        store=settings.store_address,
        seeds=",".join(settings.seeds),
    )


def fingerprint_of(path: Path) -> Fingerprint:
    """Return what shows that a file has changed; zeros without a file.

    A file that is replaced or copied may keep the modification time, and has often the same size.
    """
    try:
        status = path.stat()
    except OSError:
        return (0, 0, 0, 0)  # the read that follows reports the error
    return (status.st_mtime_ns, status.st_size, status.st_ctime_ns, status.st_ino)


async def _serve_operators(instance: RunningInstance, address: SocketAddress) -> None:
    """Serve metrics, status, audit and explanations; if that fails, the instance runs on.

    The modules for it are imported here, so that they do not delay the service to callers.
    """
    await instance.gateway.dependencies.clock.sleep_ms(OPERATOR_SERVER_DELAY_MS)
    from radishmount.border import RequestMetrics, make_operator_app, serve

    metrics = RequestMetrics()
    instance.gateway.forward_context.observe = metrics.observe
    port_account = instance.client_memory.by_port[Port.OPERATORS]
    app = make_operator_app(instance.gateway, metrics)
    match await serve(app, address, port_account=port_account):
        case Err(refusal):
            log_state_change("metrics not served", cause=str(refusal))
        case Ok(server):
            instance.servers.append(server)


async def _run(
    file: SettingsFile,
    settings: DeploymentSettings,
    metrics_port: int | None,
    max_response_bytes: int,
) -> int:
    output = set_up_logging(settings.name)
    loop = asyncio.get_running_loop()
    clock = suspend_aware_clock(loop)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    audit = AuditTrail(clock, emit=log_audit_line)
    started = await start_instance(settings, clock, Random(), audit, max_response_bytes)
    if isinstance(started, Err):
        sys.stderr.write(f"{PROGRAM}: {started.err_value}\n")
        return Exit.UNREACHABLE
    gc.freeze()  # objects made at the start live until exit, so collections need not scan them
    gc.enable()
    log_state_change("serving", callers=str(settings.caller_listen_address))
    instance = started.ok_value
    tasks = [asyncio.create_task(output.run(), name="write log")]
    if metrics_port is not None:
        address = SocketAddress(settings.caller_listen_address.host, metrics_port)
        serving = _serve_operators(instance, address)
        tasks.append(asyncio.create_task(serving, name="serve operators"))
    instance.gateway.tasks.start(
        "follow settings", lambda: _reload_settings_on_change(file, reload, instance)
    )
    await stop.wait()
    log_state_change("leaving", grace_ms=f"{instance.settings.stop_grace_ms:.0f}")
    await instance.leave()
    log_state_change("stopped")
    for task in tasks:
        task.cancel()
    output.flush()
    ignore_signals(loop)
    return Exit.OK


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals from now on, as there is nothing left to stop or to reload.

    A loop that is closed restores the default of the signals that it still handles, so that one
    that comes while the interpreter exits would change the exit status.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [RunCommand()]))


def _cold_rate_settings(settings: DeploymentSettings) -> ColdRateSettings:
    return ColdRateSettings(settings.cold_ratio, settings.cold_slack)
