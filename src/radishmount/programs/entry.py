"""`radishmount-entry`: runs one entry instance from its settings."""

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok, Result

from radishmount.audit import AuditTrail
from radishmount.border import (
    ORDER_PEER_MODELS,
    EntrySettings,
    HttpPlatformClient,
    PeerCredentials,
    PeerServer,
    RequestMetrics,
    Server,
    make_caller_app,
    make_operator_app,
    make_peer_opener,
    open_endpoint_channel,
    read_bundle,
    read_entry_settings,
    register_peer_models,
    serve,
    serve_peers,
)
from radishmount.client_memory import ClientMemory, Port
from radishmount.clock import Clock, suspend_aware_clock
from radishmount.codes import Refusal
from radishmount.control import LEAVING_GRACE_MS
from radishmount.counters import Counters
from radishmount.endpoints import OpenChannel
from radishmount.fleet import MemberTable, OpenPeer
from radishmount.node import Node, NodeDependencies, make_node
from radishmount.policy import QueryPolicy
from radishmount.programs._application import Exit, print_error_line, run_program
from radishmount.programs._logging import log_audit_line, log_state_change, set_up_logging


__all__ = ["RunningEntry", "main", "start_entry"]

PROGRAM = "radishmount-entry"
LEAVING_REFUSAL_MS = 2_000.0
ALL_MECHANISMS = QueryPolicy()

RoutePeer = Callable[[str, str], str]


class RunningEntry:
    """An entry that serves callers, operators and peers in this process."""

    def __init__(self, node: Node, callers: Server, operators: Server, peers: PeerServer) -> None:
        self.node = node
        self.callers = callers
        self.operators = operators
        self.peers = peers

    async def leave(
        self, grace_ms: float = LEAVING_GRACE_MS, refusal_ms: float = LEAVING_REFUSAL_MS
    ) -> None:
        """Stop gracefully: direct callers to other instances, and finish the requests in flight.

        Requests are still answered for `grace_ms`, because callers may have this address cached;
        then they are refused as not run for `refusal_ms`; then the entry stops accepting
        connections.
        """
        self.node.leave(grace_ms)
        await self.node.dependencies.clock.sleep_ms(grace_ms + refusal_ms)
        await self.stop()

    async def stop(self) -> None:
        """Finish the requests in flight and stop the servers and the node."""
        await self.callers.stop()
        await self.node.orders.runner.drain()
        await self.peers.stop()
        await self.node.stop()
        await self.operators.stop()


async def start_entry(
    settings: EntrySettings,
    clock: Clock,
    random: Random,
    audit: AuditTrail,
    open_channel: OpenChannel = open_endpoint_channel,
    route_peer: RoutePeer = lambda name, address: address,
    policy: QueryPolicy = ALL_MECHANISMS,
) -> Result[RunningEntry, Refusal]:
    """Start an entry from its settings and return it once it listens.

    Fails when one of its addresses cannot be bound. Trials pass their own `open_channel`,
    `route_peer` (maps a peer's name and address to the address to connect to) and `policy`.
    """
    register_peer_models(*ORDER_PEER_MODELS)
    key = settings.peer_key.encode()
    counters = Counters()

    def open_peer_for(members: MemberTable, counters: Counters) -> OpenPeer:
        open_peer = make_peer_opener(PeerCredentials(key, members, clock.cpu_ms), counters)
        return lambda name, address: open_peer(name, route_peer(name, address))

    node = make_node(
        NodeDependencies(
            name=settings.name,
            data_centre=settings.data_centre,
            clock=clock,
            random=random,
            platform=HttpPlatformClient(settings.platform, counters),
            open_channel=open_channel,
            read_bundle=read_bundle,
            open_peer_for=open_peer_for,
            policy=policy,
            seeds=settings.seeds,
            secret=key,
        ),
        audit,
        counters,
    )
    metrics = RequestMetrics()
    caller_app = make_caller_app(node, metrics)
    client_memory = ClientMemory(clock, counters, audit)
    callers = await serve(
        caller_app,
        settings.caller_listen_address,
        cancel_on_disconnect=True,
        port_account=client_memory.by_port[Port.CALLERS],
    )
    if isinstance(callers, Err):
        return callers
    operators = await serve(
        make_operator_app(node, metrics),
        settings.operator_listen_address,
        port_account=client_memory.by_port[Port.OPERATORS],
    )
    if isinstance(operators, Err):
        await callers.ok_value.stop()
        return operators
    credentials = PeerCredentials(key, node.fleet.members, clock.cpu_ms)
    peers = await serve_peers(
        settings.peer_listen_address,
        credentials,
        node.counters,
        node.peers.accept,
        client_memory.by_port[Port.PEERS],
    )
    if isinstance(peers, Err):
        await callers.ok_value.stop()
        await operators.ok_value.stop()
        return peers
    node.start()
    return Ok(RunningEntry(node, callers.ok_value, operators.ok_value, peers.ok_value))


class RunCommand(Command):
    """Runs one entry instance until SIGTERM or SIGINT."""

    name = PROGRAM
    description = "Runs one entry instance from its settings."
    options = [option("settings", "s", "The settings, JSON with comments.", flag=False)]

    def handle(self) -> int:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        path = self.option("settings")
        if not path:
            print_error_line(self, f"{PROGRAM} needs --settings FILE")
            return Exit.BAD_USAGE
        match read_entry_settings(Path(path)):
            case Err(refusal):
                print_error_line(self, f"{PROGRAM}: {refusal}")
                return Exit.BAD_USAGE
            case Ok(settings):
                return asyncio.run(_run(settings))


async def _run(settings: EntrySettings) -> int:
    output = set_up_logging(settings.name)
    writing = asyncio.create_task(output.run(), name="write log")
    loop = asyncio.get_running_loop()
    clock = suspend_aware_clock(loop)
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    started = await start_entry(settings, clock, Random(), AuditTrail(clock, emit=log_audit_line))
    if isinstance(started, Err):
        sys.stderr.write(f"{PROGRAM}: {started.err_value}\n")
        return Exit.UNREACHABLE
    entry = started.ok_value
    log_state_change("serving", callers=str(entry.callers.address))
    await stop.wait()
    log_state_change("leaving")
    await entry.leave()
    log_state_change("stopped")
    writing.cancel()
    output.flush()
    return 0


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [RunCommand()]))
