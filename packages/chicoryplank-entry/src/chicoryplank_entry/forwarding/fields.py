"""Names of the HTTP headers exchanged with callers and replicas."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case, defined by the adapter of a platform.

    Attributes:
        request_id: Id of a request, echoed in its response.
        time_left: Time until the sender of a request gives up, in milliseconds.
        expected_instance: Replica to which a request is addressed.
        account: Client account, added for replicas.
        not_run: Present in a response if the replica did not run the request.
        proof: Proof that a successful response comes from the replica.
        urgency: Position class in the queue of a replica, 0 to 9; 0 is the most
            urgent.
        at_fault: Id or address of the replica that caused the failure, for
            example of another one of its group.
        server_limit: Requests per second that a replica takes from all entries
            together; absent while it takes any number.
        leaving: "1" if the replica leaves and is to get no new request.
        prompt_parts: Parts of the prompt of a request in order, as ID:TOKENS
            separated by commas.
        last_event: Id of the last event that the receiver of a stream got.
    """

    request_id: str
    time_left: str
    expected_instance: str
    account: str
    not_run: str
    proof: str
    urgency: str
    at_fault: str
    server_limit: str = "server-limit"
    leaving: str = "server-leaving"
    prompt_parts: str = "prompt-parts"
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
    """Returns the headers that a Connection header declares as hop-by-hop."""
    if not value:
        return frozenset()
    return frozenset(part.strip().lower() for part in value.split(","))
