"""`radishmount-ask`: asks instances what callers and operators want to know."""

import json
from typing import Any

from cleo.helpers import argument, option
from result import Err, Ok

from radishmount.border import InstanceClient
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.programs._application import run_program
from radishmount.programs._ask_command import PROGRAM, AskCommand, Asked
from radishmount.programs._ask_text import (
    addresses_text,
    audit_text,
    explain_text,
    order_text,
    query_text,
    status_text,
)


__all__ = ["COMMANDS", "main"]

JSON = option("json", None, "Print the answer as it came, one JSON object.")
ENTRY = option("entry", "e", "The callers' address of an instance.", flag=False, multiple=True)
CALLER = option("caller", "c", "The published name of the caller.", flag=False)
OPERATORS = option("at", None, "The operators' address of an instance.", flag=False)


class AddressesCommand(AskCommand):
    """Which addresses a caller is to use."""

    name = "addresses"
    description = "Prints the addresses that a caller is to use, in their order."
    options = [ENTRY, CALLER, option("data-centre", None, "Where the caller is.", flag=False), JSON]
    needs = ("entry", "caller")
    to_text = staticmethod(addresses_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Ask the entries one after the other."""
        return await client.fetch_addresses(self.option("caller"), self.option("data-centre") or "")


class QueryCommand(AskCommand):
    """A search on behalf of a caller."""

    name = "query"
    description = "Searches a collection on behalf of a caller, at an address that it is told."
    arguments = [argument("collection", "What to search."), argument("text", "What to search for.")]
    options = [
        ENTRY,
        CALLER,
        option("limit", None, "The most rows to return.", flag=False),
        option("from", None, "The first key.", flag=False),
        option("to", None, "The key before which the search ends.", flag=False),
        option("deadline-ms", None, "The time for the whole answer.", flag=False),
        JSON,
    ]
    needs = ("entry", "caller")
    to_text = staticmethod(query_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Search at the addresses that the caller is told to use."""
        body: dict[str, Any] = {
            "caller": self.option("caller"),
            "collection": self.argument("collection"),
            "text": self.argument("text"),
            "keys": {"from": self.option("from") or "", "to": self.option("to")},
        }
        for name, field in (("limit", "limit"), ("deadline-ms", "deadline_ms")):
            match self.whole_number(name):
                case Err(refusal):
                    return Err(refusal)
                case Ok(number):
                    if number is not None:
                        body[field] = number
        return await client.post_to_any(body["caller"], "/v1/search", body)


class OrderCommand(AskCommand):
    """An order on behalf of a caller, under a ticket."""

    name = "order"
    description = "Places an order on behalf of a caller, under a ticket, so that it runs once."
    arguments = [
        argument("service", "The service that takes the order."),
        argument("order", "The order, a JSON object."),
    ]
    options = [
        ENTRY,
        CALLER,
        option("ticket", None, "Repeat the order of this ticket.", flag=False),
        option("deadline-ms", None, "The time for the whole answer.", flag=False),
        JSON,
    ]
    needs = ("entry", "caller")
    to_text = staticmethod(order_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Take a ticket, place the order under it, and enquire when the answer is lost."""
        try:
            order = json.loads(self.argument("order"))
        except ValueError as error:
            return Err(Refusal(Code.BAD_BODY, detail=f"the order: {error}"))
        caller, service = self.option("caller"), self.argument("service")
        ticket = self.option("ticket")
        if not ticket:
            body = {"caller": caller, "service": service}
            issued = await client.post_to_any(caller, "/v1/tickets", body)
            if isinstance(issued, Err):
                return Err(Refusal(issued.err_value.code, issued.err_value.detail))
            if issued.ok_value.error is not None:
                return issued
            ticket = str(issued.ok_value.content.get("ticket"))
        body = {"caller": caller, "service": service, "order": order, "ticket": ticket}
        match self.whole_number("deadline-ms"):
            case Err(refusal):
                return Err(refusal)
            case Ok(number):
                if number is not None:
                    body["deadline_ms"] = number
        placed = await client.post_to_any(caller, "/v1/orders", body, is_idempotent=False)
        if isinstance(placed, Ok) or placed.err_value.ran is RunStatus.NOT_RUN:
            return placed
        client.diagnostics.append(f"the answer was lost; asking for ticket {ticket}")
        return await _enquire(client, caller, ticket)


class TicketsCommand(AskCommand):
    """What became of an order under a ticket."""

    name = "tickets"
    description = "Prints what became of the order under a ticket."
    arguments = [argument("ticket", "The ticket.")]
    options = [ENTRY, CALLER, JSON]
    needs = ("entry", "caller")
    to_text = staticmethod(order_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Ask any instance, which asks the one that the ticket names."""
        return await _enquire(client, self.option("caller"), self.argument("ticket"))


class StatusCommand(AskCommand):
    """The state of an instance."""

    name = "status"
    description = "Prints the state of an instance."
    options = [OPERATORS, JSON]
    needs = ("at",)
    to_text = staticmethod(status_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Read the status."""
        return await client.get(self.option("at"), "/status")


class AuditCommand(AskCommand):
    """The changes of state of an instance."""

    name = "audit"
    description = "Prints the changes of state of an instance, oldest first."
    options = [
        OPERATORS,
        option("subject", None, "Only of this subject, such as endpoint/x.", flag=False),
        option("since", None, "Only after this sequence number.", flag=False),
        JSON,
    ]
    needs = ("at",)
    to_text = staticmethod(audit_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Read the audit trail."""
        given = {"subject": self.option("subject"), "since": self.option("since")}
        query = {name: value for name, value in given.items() if value is not None}
        return await client.get(self.option("at"), "/audit", query)


class ExplainCommand(AskCommand):
    """Why a request was slow, partial or refused."""

    name = "explain"
    description = "Prints why a request was slow, partial or refused, with each attempt."
    arguments = [argument("request-id", "The request id that the answer had.")]
    options = [
        option("at", None, "Operators' addresses of instances.", flag=False, multiple=True),
        JSON,
    ]
    needs = ("at",)
    to_text = staticmethod(explain_text)

    async def fetch(self, client: InstanceClient) -> Asked:
        """Ask one instance after the other, until one of them keeps the record."""
        last: Asked = Err(Refusal(Code.NOT_CONNECTED))
        for address in self.option("at"):
            last = await client.get(address, f"/explain/{self.argument('request-id')}")
            if isinstance(last, Ok) and last.ok_value.error is None:
                return last
        return last


async def _enquire(client: InstanceClient, caller: str, ticket: str) -> Asked:
    last: Asked = Err(Refusal(Code.NOT_CONNECTED))
    for entry in client.entry_addresses:
        last = await client.get(entry, f"/v1/tickets/{ticket}", {"caller": caller})
        if isinstance(last, Ok):
            return last
    return last


COMMANDS = (
    AddressesCommand,
    QueryCommand,
    OrderCommand,
    TicketsCommand,
    StatusCommand,
    AuditCommand,
    ExplainCommand,
)


def main() -> None:
    """Run the program."""
    raise SystemExit(run_program(PROGRAM, [make() for make in COMMANDS]))
