"""Names of the headers that a deployment of the product speaks."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; the adapter of a platform fills them in.

    Attributes:
        request_id: Id of a request, echoed in its answer.
        time_left: Milliseconds that the sender of a request still waits.
        expected_instance: Replica for which a request is meant.
        account: Client account, told to replicas.
        not_run: Present in an answer if the replica did not run the request.
        proof: Replica's proof that a success is its own.
        urgency: Order in a replica's queue, 0 to 9; 0 is first.
        at_fault: Replica that caused a failure of its group.
        last_event: Last event of a stream that the receiver has.
    """

    request_id: str
    time_left: str
    expected_instance: str
    account: str
    not_run: str
    proof: str
    urgency: str
    at_fault: str
    last_event: str = "last-event-id"


# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def list_connection_headers(value: str | None) -> frozenset[str]:
    """Returns the headers that a Connection header declares hop-by-hop."""
    if not value:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(","))
