"""Tells whether a request may have run at a backend server."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    Attributes:
        NOT_RUN: The request did not run and will not run later.
        MAY_HAVE_RUN: The outcome is unknown; a non-idempotent request must not
            be sent again.
        RAN: The request ran to its end.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
