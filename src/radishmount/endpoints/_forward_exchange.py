"""A caller's request as it is passed on to one endpoint, and the endpoint's answer to it."""

from dataclasses import dataclass

from radishmount.endpoints._exchange import LoadReport


__all__ = ["ForwardCall", "ForwardReply", "ForwardRequest", "HeaderPairs"]

HeaderPairs = tuple[tuple[str, str], ...]
FIRST_FAILING_STATUS = 500


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request as a caller sent it: `target` is path and query, byte for byte.

    `headers` are those that belong to the request and not to the caller's connection.
    """

    request_id: str
    method: str
    target: str
    headers: HeaderPairs = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """One sending of `call` to the endpoint `expected_endpoint`; any other one refuses to run it.

    What must not run twice is best sent over a connection that is known to work.
    """

    call: ForwardCall
    service: str
    expected_endpoint: str
    deadline_at_ms: float
    idempotent: bool = True
    index_version: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """An endpoint's own whole answer. `signature` is the proof that the endpoint made it."""

    service: str
    status: int
    headers: HeaderPairs
    body: bytes
    signature: str
    load: LoadReport

    @property
    def is_server_error(self) -> bool:
        """Tell whether the endpoint ran the request and failed."""
        return self.status >= FIRST_FAILING_STATUS

    @property
    def is_success(self) -> bool:
        """Tell whether the endpoint ran the request with success."""
        return 200 <= self.status < 300

    def answers(self, request: ForwardRequest) -> bool:
        """Tell whether this is the reply to `request`; the channel has compared the ids."""
        return self.service == request.service
