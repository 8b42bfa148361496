"""A caller's request as it is forwarded to one endpoint, and the endpoint's reply."""

from dataclasses import dataclass

from radishmount.endpoints._exchange import LoadReport


__all__ = ["ForwardCall", "ForwardReply", "ForwardRequest", "HeaderPairs"]

HeaderPairs = tuple[tuple[str, str], ...]
FIRST_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request as a caller sent it. `target` is the path and query, byte for byte.

    `headers` are the end-to-end headers, without those of the caller's connection.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderPairs = ()
    body: bytes = b""


@dataclass(slots=True)
class ForwardRequest:
    """One attempt at `call`. Any endpoint other than `expected_endpoint` refuses to run it.

    The channel sets `sent_bytes` when the request is written, and `received_bytes` with the
    complete response.

    A request that is not `idempotent` must not run twice, so it is best sent over a connection
    that is known to work. `kind` names the kind of work, so that latencies are compared within it;
    the route is one. `needs_headers` is false where only the body and the signature of the
    reply are used, as for a shard.
    """

    call: ForwardCall
    service: str
    expected_endpoint: str
    deadline_at_ms: float
    idempotent: bool = True
    needs_headers: bool = True
    index_version: int | None = None
    sent_bytes: int = 0
    received_bytes: int = 0
    kind: str = ""


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The complete reply of an endpoint. `signature` proves that the endpoint itself made it."""

    service: str
    status: int
    headers: HeaderPairs
    body: bytes
    signature: str
    load: LoadReport

    @property
    def is_server_error(self) -> bool:
        """Return whether the endpoint ran the request and failed, with a status of 500 or more."""
        return self.status >= FIRST_SERVER_ERROR_STATUS

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint ran the request successfully, with a status of 200 to 299."""
        return 200 <= self.status < 300

    def answers(self, request: ForwardRequest) -> bool:
        """Return whether this is the reply to `request`, whose id the channel has compared."""
        return self.service == request.service
