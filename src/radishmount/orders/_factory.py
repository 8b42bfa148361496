"""The aggregate, put together from what the instance hands in."""

from dataclasses import dataclass
from random import Random

from radishmount.clock import Clock
from radishmount.orders._context import OrderContext
from radishmount.orders._handler import OrderHandler
from radishmount.orders._keyed_orders import Keys, RequestAgreement
from radishmount.orders._limits import OrderLimits
from radishmount.orders._ownership import KeyOwnership
from radishmount.orders._runner import Admit, FindRule, OrderRunner
from radishmount.orders._ticket import seal_key_from
from radishmount.orders._ticketed_orders import Forward, Tickets


__all__ = ["OrderDependencies", "make_order_handler", "new_order_incarnation"]

RANDOM_BITS = 20


@dataclass(frozen=True, slots=True)
class OrderDependencies:
    """What orders are handed by their instance. `secret` is the same for the whole fleet."""

    own_name: str
    start_number: int
    secret: bytes
    tools: OrderContext
    bind: FindRule
    admit: Admit
    forward: Forward
    ask_agreement: RequestAgreement
    limits: OrderLimits = OrderLimits()


def new_order_incarnation(clock: Clock, random: Random) -> int:
    """Return a number that no other start of the instance has, even if its clock jumped back."""
    return int(clock.wall_ms()) << RANDOM_BITS | random.getrandbits(RANDOM_BITS)


def make_order_handler(parts: OrderDependencies) -> OrderHandler:
    """Return a desk without any order."""
    clock = parts.tools.clock
    runner = OrderRunner(parts.tools, parts.bind, parts.admit)
    tickets = Tickets(
        parts.own_name,
        parts.start_number,
        seal_key_from(parts.secret),
        clock,
        runner,
        parts.forward,
        parts.limits,
    )
    keys = Keys(
        KeyOwnership(parts.own_name, parts.start_number, parts.limits.key_lifetime_ms),
        clock,
        runner,
        parts.tools.counters,
        parts.forward,
        parts.ask_agreement,
        parts.limits,
    )
    return OrderHandler(runner, tickets, keys)
