"""Invariants that are asserted while the program runs."""

import functools

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.verdict import Verdict


@functools.cache
def _make_counter():
    """Returns the counter of violations; none is expected in most processes."""
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
    """Rejects the operation if an invariant does not hold.

    Args:
        condition: The invariant.
        name: Short stable name, used as a metric label.
        detail: The values that broke it.
        verdict: Whether the rejected request may have run.

    Raises:
        ChicoryplankError: With INVARIANT_VIOLATED if the condition is false.
    """
    if condition:
        return
    emit(Event.INVARIANT_VIOLATED, name=name, detail=detail)
    _make_counter().labels(name).inc()
    raise ChicoryplankError(
        ErrorCode.INVARIANT_VIOLATED, f"{name}: {detail}", verdict
    )
