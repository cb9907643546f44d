"""Replicas that get no new request for a time, and the reasons.

Load pattern: some replicas of a service leave, pause or are full while the
others take their requests.
"""

import dataclasses
import enum
from collections.abc import Collection, Iterable

from chicoryplank.admission._server_limits import (
    MalformedLimitError,
    parse_limit,
)
from chicoryplank.events import Event, emit
from chicoryplank.ids import InstanceId

# Longest pause in seconds that a replica is given, whatever it asks for.
_MAX_PAUSE_S = 300.0
_MAX_LOGGED_CHARACTERS = 50
# Time in seconds for which the holds of a replica outlast its registration,
# which may only have lapsed.
_UNREGISTERED_MEMORY_S = 60.0


class HoldReason(enum.Enum):
    """Why a replica gets no new request.

    Attributes:
        FULL: It rejected a request for lack of slots.
        LIMIT: Its limit on the request rate is used up.
        PAUSE: It asked for a pause when it rejected a request.
        MISDIRECTED: Another replica has responded at its address.
        LEAVING: It drains, as its registration or a response says.
        EVACUATED: The operator has evacuated its zone.
    """

    FULL = "full"
    LIMIT = "limit"
    PAUSE = "pause"
    MISDIRECTED = "misdirected"
    LEAVING = "leaving"
    EVACUATED = "evacuated"


# A replica takes requests again at a known time.
_WITH_KNOWN_END = frozenset({HoldReason.LIMIT, HoldReason.PAUSE})
# A replica most likely takes no request again, or nobody knows when.
WITHOUT_RETURN = frozenset(
    {HoldReason.MISDIRECTED, HoldReason.LEAVING, HoldReason.EVACUATED}
)
# Reasons for which even a request that has a connection is not sent.
WITHDRAWN = WITHOUT_RETURN | {HoldReason.PAUSE}
# Reasons for which the slots of a replica are of no use now. A full replica has
# a free slot soon.
UNUSABLE = _WITH_KNOWN_END | WITHOUT_RETURN
ALL_REASONS = frozenset(HoldReason)


class MalformedPauseError(ValueError):
    """The value is not a decimal number of seconds."""


def parse_pause(text: str) -> float:
    """Parses a pause in seconds.

    Raises:
        MalformedPauseError: If the text is not a decimal number.

    Example:
        >>> parse_pause("1.5")
        1.5
    """
    try:
        return parse_limit(text)
    except MalformedLimitError as error:
        raise MalformedPauseError(str(error)) from error


def read_pause(instance: InstanceId, text: str) -> float:
    """Returns the pause to give a replica; logs one that is not plausible.

    Args:
        instance: The replica.
        text: Time in seconds, as the replica wrote it.

    Returns:
        Seconds; 0 for none.
    """
    try:
        pause_s = parse_pause(text)
    except MalformedPauseError:
        pause_s = None
    applied_s = min(pause_s or 0.0, _MAX_PAUSE_S)
    if applied_s != pause_s:
        emit(
            Event.REPLICA_PAUSE_MALFORMED,
            replica=instance,
            value=repr(text[:_MAX_LOGGED_CHARACTERS]),
            applied_s=applied_s,
        )
    return applied_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """End of a hold, and the start of the process that it concerns."""

    until_s: float
    started_ms: int


class ReplicaHolds:
    """Holds of all replicas at one entry.

    A hold ends at its time, or when the replica starts again.

    Example:
        >>> holds = ReplicaHolds()
        >>> holds.hold(InstanceId("a"), HoldReason.PAUSE, until_s=5.0)
        True
        >>> holds.list_held(now_s=4.0), holds.list_held(now_s=5.0)
        (frozenset({'a'}), frozenset())
    """

    def __init__(self) -> None:
        self._holds: dict[InstanceId, dict[HoldReason, _Hold]] = {}

    def hold(
        self,
        instance: InstanceId,
        reason: HoldReason,
        until_s: float,
        started_ms: int = 0,
    ) -> bool:
        """Holds a replica, at least until the end of an earlier hold.

        Args:
            instance: The replica.
            reason: Why it is held.
            until_s: End of the hold, in seconds.
            started_ms: Unix time of the start of the replica in milliseconds;
                0 if unknown.

        Returns:
            Whether it was not held for this reason before.
        """
        holds = self._holds.setdefault(instance, {})
        known = holds.get(reason)
        if known is not None and known.started_ms >= started_ms:
            until_s = max(until_s, known.until_s)
            started_ms = known.started_ms
        holds[reason] = _Hold(until_s, started_ms)
        return known is None

    def release(self, instance: InstanceId, reason: HoldReason) -> None:
        """Ends the hold of a replica for one reason."""
        self._holds.get(instance, {}).pop(reason, None)

    def observe_start(self, instance: InstanceId, started_ms: int) -> None:
        """Ends the holds of a replica that concern an earlier start."""
        holds = self._holds.get(instance)
        if holds:
            self._holds[instance] = {
                reason: hold
                for reason, hold in holds.items()
                if hold.started_ms >= started_ms
            }

    def retain(self, instances: Collection[InstanceId], now_s: float) -> None:
        """Limits the holds of replicas that are not registered.

        Args:
            instances: Registered replicas.
            now_s: Current time in seconds.
        """
        latest_s = now_s + _UNREGISTERED_MEMORY_S
        for instance in self._holds.keys() - instances:
            self._holds[instance] = {
                reason: _Hold(min(hold.until_s, latest_s), hold.started_ms)
                for reason, hold in self._holds[instance].items()
            }

    def is_held(
        self,
        instance: InstanceId,
        now_s: float,
        reasons: frozenset[HoldReason] = ALL_REASONS,
    ) -> bool:
        """Returns whether a replica is held for any of several reasons."""
        return self._get_end_s(instance, now_s, reasons) > now_s

    def list_held(
        self, now_s: float, reasons: frozenset[HoldReason] = ALL_REASONS
    ) -> frozenset[InstanceId]:
        """Returns the replicas that are held for any of several reasons."""
        self._remove_expired(now_s)
        return frozenset(
            instance
            for instance, holds in self._holds.items()
            if not reasons.isdisjoint(holds)
        )

    def estimate_wait_s(
        self, instances: Iterable[InstanceId], now_s: float
    ) -> float:
        """Returns the least time until one of several replicas is not held.

        Replicas without a known return are left out.

        Returns:
            Seconds; 0 if one is not held, or if none has a known return.
        """
        returns_s = [
            self._get_end_s(instance, now_s, _WITH_KNOWN_END)
            for instance in instances
            if not self.is_held(instance, now_s, WITHOUT_RETURN)
        ]
        return max(0.0, min(returns_s, default=now_s) - now_s)

    def _get_end_s(
        self,
        instance: InstanceId,
        now_s: float,
        reasons: frozenset[HoldReason],
    ) -> float:
        ends_s = [
            hold.until_s
            for reason, hold in self._holds.get(instance, {}).items()
            if reason in reasons
        ]
        return max(ends_s, default=now_s)

    def _remove_expired(self, now_s: float) -> None:
        for instance, holds in list(self._holds.items()):
            expired = [
                reason
                for reason, hold in holds.items()
                if now_s >= hold.until_s
            ]
            for reason in expired:
                del holds[reason]
            if not holds:
                del self._holds[instance]
