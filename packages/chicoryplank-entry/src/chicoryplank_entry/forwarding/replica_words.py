"""What replicas say of themselves, as holds of new requests.

Replicas say in responses that they leave, pause or have no free slot, and in
registrations that they drain.
"""

import random
from collections.abc import Callable

from chicoryplank.admission import (
    HoldReason,
    ReplicaHolds,
    read_pause,
)
from chicoryplank.events import Event, emit
from chicoryplank.traffic import ReplicaRecord, ReplicaRegistry, ReplicaState
from chicoryplank_entry.forwarding.metrics import METRICS

# Time in seconds for which a replica is excluded after another replica has
# responded at its address. An outdated registration has expired by then.
_EXCLUSION_S = 10.0
# Time in seconds for which a replica counts as full after it rejected a request
# for lack of slots. A group step is shorter, so a slot may be free by then.
_FULL_HOLD_S = 0.15
# Share of a pause by which it is extended at random, and the longest extension
# in seconds, so that the entries do not return together.
_PAUSE_SPREAD = 0.25
_MAX_PAUSE_SPREAD_S = 1.0


class ReplicaWords:
    """Feeds the holds of one entry.

    Args:
        holds: Replicas that get no new request.
        registry: Registered replicas.
        now_s: Returns the current time in seconds.
        rng: Random number generator.
    """

    def __init__(
        self,
        holds: ReplicaHolds,
        registry: ReplicaRegistry,
        now_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._holds = holds
        self._registry = registry
        self._now_s = now_s
        self._rng = rng

    def observe_registration(self, replica: ReplicaRecord) -> None:
        """Ends the holds of earlier starts, and holds a replica that drains."""
        self._holds.observe_start(replica.instance, replica.started_ms)
        if replica.state is ReplicaState.DRAINING:
            self._hold(replica, HoldReason.LEAVING, float("inf"))

    def observe_misdirected(self, replica: ReplicaRecord) -> None:
        """Records that the address of a replica belongs to another one."""
        until_s = self._now_s() + _EXCLUSION_S
        self._hold(replica, HoldReason.MISDIRECTED, until_s)

    def observe_full(self, replica: ReplicaRecord) -> None:
        """Records that a replica rejected a request for lack of slots."""
        until_s = self._now_s() + _FULL_HOLD_S
        self._hold(replica, HoldReason.FULL, until_s)

    def observe_leaving(self, replica: ReplicaRecord) -> None:
        """Records that a replica says in a response that it leaves.

        The hold lasts until the replica starts again, whatever a registration
        says that is read later.
        """
        if self._hold(replica, HoldReason.LEAVING, float("inf")):
            emit(Event.REPLICA_LEAVING, replica=replica.instance)

    def observe_pause(self, replica: ReplicaRecord, text: str) -> None:
        """Records that a replica rejects requests for a time.

        Args:
            replica: The replica.
            text: Time in seconds, as the replica wrote it.
        """
        pause_s = read_pause(replica.instance, text)
        if not pause_s:
            return
        spread_s = min(_PAUSE_SPREAD * pause_s, _MAX_PAUSE_SPREAD_S)
        until_s = self._now_s() + pause_s + spread_s * self._rng.random()
        if self._hold(replica, HoldReason.PAUSE, until_s):
            emit(
                Event.REPLICA_PAUSED,
                replica=replica.instance,
                pause_s=pause_s,
            )

    def _hold(
        self, replica: ReplicaRecord, reason: HoldReason, until_s: float
    ) -> bool:
        """Holds a replica unless it has started again in the meantime."""
        current = self._registry.get(replica.instance)
        if current is not None and current.started_ms > replica.started_ms:
            return False
        has_begun = self._holds.hold(
            replica.instance, reason, until_s, replica.started_ms
        )
        if has_begun:
            METRICS.count_hold(reason.value)
        return has_begun
