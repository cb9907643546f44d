"""One try of a request at one replica, and what its answer means."""

import dataclasses
import enum

from chicoryplank.traffic import ReplicaRecord
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.backends import BackendAddress
from chicoryplank_entry.forwarding.fields import HeaderNames
from chicoryplank_wire.client_connection import ClientConnection, Response

_MISDIRECTED = 421
_UNAVAILABLE = 503
_TOO_MANY = 429
_FIRST_SERVER_ERROR = 500
_SUCCESS = range(200, 300)


class Outcome(enum.Enum):
    """What the head of an answer means.

    Attributes:
        ANSWER: The replica's own answer, to be passed on.
        FAILURE: The replica ran the request and failed.
        FULL: The replica did not run it, since it has no place.
        MISDIRECTED: Another replica has the address; it did not run it.
        UNPROVEN: A success that the replica did not sign.
    """

    ANSWER = "answer"
    FAILURE = "failure"
    FULL = "full"
    MISDIRECTED = "misdirected"
    UNPROVEN = "unproven"


@dataclasses.dataclass(slots=True)
class Attempt:
    """A try that was sent.

    Attributes:
        replica: Replica that it was sent to.
        backend: Where that replica listens.
        connection: Connection that it uses.
        response: Response, as it arrives.
        started_s: When it was sent.
        was_kept: Whether the connection had served a request before.
        earlier: Verdict on the attempts before this one.
    """

    replica: ReplicaRecord
    backend: BackendAddress
    connection: ClientConnection
    response: Response
    started_s: float
    was_kept: bool
    earlier: Verdict


def classify(
    names: HeaderNames, response: Response, request_id: str
) -> Outcome:
    """Returns what the head of a response means."""
    status = response.status
    if status == _MISDIRECTED:
        return Outcome.MISDIRECTED
    if response.get(names.not_run) is not None:
        return Outcome.FULL
    if status in _SUCCESS:
        answered = response.get(names.request_id)
        if response.get(names.proof) is None or answered != request_id:
            return Outcome.UNPROVEN
        return Outcome.ANSWER
    if status >= _FIRST_SERVER_ERROR or status == _TOO_MANY:
        return Outcome.FAILURE
    return Outcome.ANSWER
