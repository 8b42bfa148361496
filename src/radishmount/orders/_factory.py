"""Builds the order handler of an instance from its dependencies."""

from dataclasses import dataclass
from random import Random

from radishmount.clock import Clock
from radishmount.orders._context import OrderContext
from radishmount.orders._handler import OrderHandler
from radishmount.orders._keyed_orders import KeyedOrders, RequestAgreement
from radishmount.orders._limits import OrderLimits
from radishmount.orders._ownership import KeyOwnership
from radishmount.orders._runner import Admit, FindRule, OrderRunner
from radishmount.orders._ticket import derive_signing_key
from radishmount.orders._ticketed_orders import Forward, TicketedOrders


__all__ = ["OrderDependencies", "make_order_handler", "new_order_incarnation"]

INCARNATION_RANDOM_BITS = 20


@dataclass(frozen=True, slots=True)
class OrderDependencies:
    """What the instance passes to its order handler.

    `secret` is shared by the whole fleet: every instance can verify the tickets of the others.
    `incarnation` differs with each start of the instance.
    """

    own_name: str
    incarnation: int
    secret: bytes
    context: OrderContext
    find_rule: FindRule
    admit: Admit
    forward: Forward
    request_agreement: RequestAgreement
    limits: OrderLimits = OrderLimits()


def new_order_incarnation(clock: Clock, random: Random) -> int:
    """Return a number that is unique to this start of the instance.

    Random low bits keep it unique even if the wall clock was set back between two starts.
    """
    return int(clock.wall_ms()) << INCARNATION_RANDOM_BITS | random.getrandbits(
        INCARNATION_RANDOM_BITS
    )


def make_order_handler(dependencies: OrderDependencies) -> OrderHandler:
    """Return a handler without any order."""
    clock = dependencies.context.clock
    runner = OrderRunner(dependencies.context, dependencies.find_rule, dependencies.admit)
    ticketed_orders = TicketedOrders(
        dependencies.own_name,
        dependencies.incarnation,
        derive_signing_key(dependencies.secret),
        clock,
        runner,
        dependencies.forward,
        dependencies.limits,
    )
    keyed_orders = KeyedOrders(
        KeyOwnership(
            dependencies.own_name, dependencies.incarnation, dependencies.limits.key_lifetime_ms
        ),
        clock,
        runner,
        dependencies.context.counters,
        dependencies.forward,
        dependencies.request_agreement,
        dependencies.limits,
    )
    return OrderHandler(runner, ticketed_orders, keyed_orders)
