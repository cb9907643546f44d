"""Whether a request may have been executed at a backend server."""

import enum

# HTTP statuses that tell a caller that its request did not run and will not
# run later.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    Attributes:
        NOT_RUN: The request was not executed and will not be executed later.
        MAY_HAVE_RUN: The outcome is unknown, so a non-idempotent request must
            not be sent again.
        RAN: The request was executed completely.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
