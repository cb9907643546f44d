"""Invariant checks that stay enabled in production."""

import functools

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.verdict import Verdict


@functools.cache
def _get_counter():
    """Returns the counter of violations.

    It is created, and its library imported, at the first violation, because
    most processes never see one.
    """
    import prometheus_client

    return prometheus_client.Counter(
        "chicoryplank_invariant_violations_total",
        "Violated invariants by name.",
        ["name"],
    )


def require(
    condition: bool,
    name: str,
    detail: str,
    verdict: Verdict = Verdict.MAY_HAVE_RUN,
) -> None:
    """Logs, counts and raises a violation if an invariant does not hold.

    Args:
        condition: Whether the invariant holds.
        name: Short stable name, used as a metric label.
        detail: Values that violate the invariant.
        verdict: Whether the request may have been executed.

    Raises:
        ChicoryplankError: With INVARIANT_VIOLATED if the condition is false.
    """
    if condition:
        return
    emit(Event.INVARIANT_VIOLATED, name=name, detail=detail)
    _get_counter().labels(name).inc()
    raise ChicoryplankError(
        ErrorCode.INVARIANT_VIOLATED, f"{name}: {detail}", verdict
    )
