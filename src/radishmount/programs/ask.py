"""`radishmount-ask`: sends the requests of callers and operators to instances."""

import json
from typing import Any

from cleo.helpers import argument, option
from result import Err, Ok

from radishmount.border import InstanceClient
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.programs._application import run_program
from radishmount.programs._ask_command import PROGRAM, AskCommand, FetchResult
from radishmount.programs._ask_text import (
    addresses_text,
    audit_text,
    explain_text,
    order_text,
    query_text,
    status_text,
)


__all__ = ["COMMANDS", "main"]

JSON_OPTION = option("json", None, "Print the answer as it came, one JSON object.")
ENTRY_OPTION = option(
    "entry", "e", "The callers' address of an instance.", flag=False, multiple=True
)
CALLER_OPTION = option("caller", "c", "The published name of the caller.", flag=False)
OPERATOR_ADDRESS_OPTION = option("at", None, "The operators' address of an instance.", flag=False)


class AddressesCommand(AskCommand):
    """Prints the addresses that a caller is to use."""

    name = "addresses"
    description = "Prints the addresses that a caller is to use, in their order."
    options = [
        ENTRY_OPTION,
        CALLER_OPTION,
        option("data-centre", None, "Where the caller is.", flag=False),
        JSON_OPTION,
    ]
    required_options = ("entry", "caller")
    format_text = staticmethod(addresses_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Ask the given entries in turn until one answers."""
        return await client.fetch_addresses(self.option("caller"), self.option("data-centre") or "")


class QueryCommand(AskCommand):
    """Searches a collection on behalf of a caller."""

    name = "query"
    description = "Searches a collection on behalf of a caller, at an address assigned to it."
    arguments = [argument("collection", "What to search."), argument("text", "What to search for.")]
    options = [
        ENTRY_OPTION,
        CALLER_OPTION,
        option("limit", None, "The most rows to return.", flag=False),
        option("from", None, "The first key.", flag=False),
        option("to", None, "The key before which the search ends.", flag=False),
        option("deadline-ms", None, "The time for the whole answer.", flag=False),
        JSON_OPTION,
    ]
    required_options = ("entry", "caller")
    format_text = staticmethod(query_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Post the search to one of the addresses that the caller is assigned."""
        body: dict[str, Any] = {
            "caller": self.option("caller"),
            "collection": self.argument("collection"),
            "text": self.argument("text"),
            "keys": {"from": self.option("from") or "", "to": self.option("to")},
        }
        for name, field in (("limit", "limit"), ("deadline-ms", "deadline_ms")):
            match self.read_number_option(name):
                case Err(refusal):
                    return Err(refusal)
                case Ok(number):
                    if number is not None:
                        body[field] = number
        return await client.post_to_any(body["caller"], "/v1/search", body)


class OrderCommand(AskCommand):
    """Places an order on behalf of a caller, under a ticket so that it runs at most once."""

    name = "order"
    description = "Places an order on behalf of a caller, under a ticket, so that it runs once."
    arguments = [
        argument("service", "The service that takes the order."),
        argument("order", "The order, a JSON object."),
    ]
    options = [
        ENTRY_OPTION,
        CALLER_OPTION,
        option("ticket", None, "Repeat the order of this ticket.", flag=False),
        option("deadline-ms", None, "The time for the whole answer.", flag=False),
        JSON_OPTION,
    ]
    required_options = ("entry", "caller")
    format_text = staticmethod(order_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Get a ticket, place the order under it, and fetch its outcome if the answer is lost."""
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
        match self.read_number_option("deadline-ms"):
            case Err(refusal):
                return Err(refusal)
            case Ok(number):
                if number is not None:
                    body["deadline_ms"] = number
        placed = await client.post_to_any(caller, "/v1/orders", body, is_idempotent=False)
        if isinstance(placed, Ok) or placed.err_value.ran is RunStatus.NOT_RUN:
            return placed
        client.diagnostics.append(f"the answer was lost; asking for ticket {ticket}")
        return await _fetch_outcome(client, caller, ticket)


class TicketsCommand(AskCommand):
    """Prints the outcome of the order under a ticket."""

    name = "tickets"
    description = "Prints what became of the order under a ticket."
    arguments = [argument("ticket", "The ticket.")]
    options = [ENTRY_OPTION, CALLER_OPTION, JSON_OPTION]
    required_options = ("entry", "caller")
    format_text = staticmethod(order_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Ask any instance; it asks the one that the ticket names."""
        return await _fetch_outcome(client, self.option("caller"), self.argument("ticket"))


class StatusCommand(AskCommand):
    """Prints the state of an instance."""

    name = "status"
    description = "Prints the state of an instance."
    options = [OPERATOR_ADDRESS_OPTION, JSON_OPTION]
    required_options = ("at",)
    format_text = staticmethod(status_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Get the status."""
        return await client.get(self.option("at"), "/status")


class AuditCommand(AskCommand):
    """Prints the audit trail of an instance: its changes of state."""

    name = "audit"
    description = "Prints the changes of state of an instance, oldest first."
    options = [
        OPERATOR_ADDRESS_OPTION,
        option("subject", None, "Only of this subject, such as endpoint/x.", flag=False),
        option("since", None, "Only after this sequence number.", flag=False),
        JSON_OPTION,
    ]
    required_options = ("at",)
    format_text = staticmethod(audit_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Get the audit trail, with the given filters as query parameters."""
        filters = {"subject": self.option("subject"), "since": self.option("since")}
        query = {name: value for name, value in filters.items() if value is not None}
        return await client.get(self.option("at"), "/audit", query)


class ExplainCommand(AskCommand):
    """Prints why a request was slow, partial or refused."""

    name = "explain"
    description = "Prints why a request was slow, partial or refused, with each attempt."
    arguments = [argument("request-id", "The request id that the answer had.")]
    options = [
        option("at", None, "Operators' addresses of instances.", flag=False, multiple=True),
        JSON_OPTION,
    ]
    required_options = ("at",)
    format_text = staticmethod(explain_text)

    async def fetch(self, client: InstanceClient) -> FetchResult:
        """Ask the instances in turn until one has a record of the request."""
        last: FetchResult = Err(Refusal(Code.NOT_CONNECTED))
        for address in self.option("at"):
            last = await client.get(address, f"/explain/{self.argument('request-id')}")
            if isinstance(last, Ok) and last.ok_value.error is None:
                return last
        return last


async def _fetch_outcome(client: InstanceClient, caller: str, ticket: str) -> FetchResult:
    last: FetchResult = Err(Refusal(Code.NOT_CONNECTED))
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
