"""One attempt of a request at a replica, and the outcome of its response."""

import dataclasses
import enum

from chicoryplank.admission import PaceOutcome
from chicoryplank.traffic import ReplicaRecord
from chicoryplank.verdict import NOT_RUN_STATUSES, Verdict
from chicoryplank_entry.forwarding.backends import BackendAddress
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_wire.client_connection import (
    BreakReason,
    ClientConnection,
    ConnectionBrokenError,
    Response,
)

_MISDIRECTED = 421
_FIRST_SERVER_ERROR = 500
SUCCESS = range(200, 300)


class Outcome(enum.Enum):
    """Outcome of an attempt, from the status and headers of the response.

    Attributes:
        FINAL: The response is relayed to the caller.
        FAILURE: The replica ran the request and reports a failure.
        FULL: The replica did not run the request, since it has no free slot or
            its group is down.
        MISDIRECTED: Another replica has the address, and did not run the
            request.
        UNPROVEN: A response without the id of this request, or a success
            without proof that it comes from this replica. It says nothing
            about the request.
        UNSTATED: A status that tells a caller that its request did not run,
            without a statement of the replica that it did not. The request may
            have run, so the response must not be relayed.
    """

    FINAL = "answer"
    FAILURE = "failure"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNPROVEN = "unproven"
    UNSTATED = "unstated"


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt whose request was sent.

    Attributes:
        replica: Replica that the request was sent to.
        backend: Address of that replica.
        connection: Connection to the replica.
        response: Response, possibly still incomplete.
        started_s: Time when the request was sent.
        is_connection_reused: Whether the connection had carried another request
            before.
        has_carried_call: Whether the connection had carried an earlier attempt
            of the same request.
        earlier_verdict: Verdict on the attempts before this one.
        first_output_s: Time when the replica began to respond with a success;
            None before.
        pace_outcome: What is still to be reported for the ramp of the replica.
        caller_wait_s: Time for which its response was not read since the
            caller read slowly, in seconds.
        has_events: Whether an event of its stream was relayed.
    """

    replica: ReplicaRecord
    backend: BackendAddress
    connection: ClientConnection
    response: Response
    started_s: float
    is_connection_reused: bool
    has_carried_call: bool
    earlier_verdict: Verdict
    first_output_s: float | None = None
    pace_outcome: PaceOutcome | None = PaceOutcome.UNFINISHED
    caller_wait_s: float = 0.0
    has_events: bool = False


class EchoedId(enum.Enum):
    """Request id that a response carries.

    Attributes:
        OWN: Id of the request that was sent.
        MISSING: No id.
        OTHER: Id of another request.
    """

    OWN = "own"
    MISSING = "missing"
    OTHER = "other"


def get_echoed_id(
    names: HeaderNames, response: Response, request_id: str
) -> EchoedId:
    """Compares the id in a response with the id of its request."""
    echoed_id = response.get(names.request_id)
    if echoed_id is None:
        return EchoedId.MISSING
    return EchoedId.OWN if echoed_id == request_id else EchoedId.OTHER


def classify(
    names: HeaderNames, response: Response, request_id: str
) -> Outcome:
    """Classifies a response by its status and headers."""
    status = response.status
    states_not_run = response.get(names.not_run) is not None
    if get_echoed_id(names, response, request_id) is not EchoedId.OWN:
        return Outcome.UNPROVEN
    if status in SUCCESS:
        has_proof = response.get(names.proof) is not None
        is_proven = has_proof and not states_not_run
        return Outcome.FINAL if is_proven else Outcome.UNPROVEN
    if status == _MISDIRECTED:
        return Outcome.MISDIRECTED
    if states_not_run:
        return Outcome.FULL
    if status in NOT_RUN_STATUSES:
        return Outcome.UNSTATED
    return Outcome.FAILURE if status >= _FIRST_SERVER_ERROR else Outcome.FINAL


def is_idle_connection_closed(
    attempt: Attempt, error: ConnectionBrokenError
) -> bool:
    """Returns whether a replica most likely closed an idle connection.

    It then has not read the request, and may work well.
    """
    return (
        attempt.is_connection_reused
        and not attempt.response.status
        and error.reason in (BreakReason.CLOSED, BreakReason.RESET)
    )
