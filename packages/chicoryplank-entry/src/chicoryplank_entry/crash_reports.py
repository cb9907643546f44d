"""Crashes of backend servers that agents report, shared with other entries."""

import hashlib
import json
from collections.abc import Callable

from chicoryplank.attempts import AttemptState
from chicoryplank.clock import Clock
from chicoryplank.errors import ErrorCode
from chicoryplank.events import Event, emit
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.quarantine import CrashTimes, Quarantine, SuspectAttempt
from chicoryplank_entry.exchange import SentAttempt

_SUCCESS = range(200, 300)
_MAX_PEERS = 1_000


def _digest(items: list[dict[str, object]]) -> bytes:
    """Returns a digest of crashes and verdicts without their ages."""
    content = sorted(
        json.dumps({**item, "age_s": 0}, sort_keys=True) for item in items
    )
    return hashlib.blake2b("\n".join(content).encode(), digest_size=8).digest()


_EMPTY_DIGEST = _digest([])


class CrashReports:
    """Records the ends of attempts for the quarantine, and exchanges them.

    Entries exchange crashes and verdicts with their heartbeats, whole but only
    if the digest of the receiver differs.

    Args:
        quarantine: Crashes and verdicts that this entry knows.
        clock: Source of time.
        entry: Incarnation of this entry.
        count_replicas: Returns the number of replicas of a deployment.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        clock: Clock,
        entry: Incarnation,
        count_replicas: Callable[[str], int],
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._entry = entry
        self._count_replicas = count_replicas
        self._times: CrashTimes[InstanceId] = CrashTimes()
        self._peer_digests: dict[InstanceId, bytes] = {}
        self._digest = _EMPTY_DIGEST
        # Revision of the quarantine that the digest is of.
        self._digest_revision = -1

    def now_s(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._clock.elapsed().total_seconds()

    def observe_end(self, sent_attempt: SentAttempt) -> None:
        """Records whether the backend server crashed under an attempt."""
        attempt = sent_attempt.attempt
        call = sent_attempt.call
        error = attempt.error
        if error is not None and error.code is ErrorCode.BACKEND_CRASHED:
            self._observe_crash(sent_attempt)
        elif (
            attempt.state is AttemptState.ENDED
            and attempt.status in _SUCCESS
            and self._quarantine.is_watching(call.service)
        ):
            self._quarantine.observe_success(
                call.service,
                call.features,
                sent_attempt.sent_at.total_seconds(),
                self.now_s(),
                is_complete=True,
            )

    def _observe_crash(self, sent_attempt: SentAttempt) -> None:
        call = sent_attempt.call
        agent = sent_attempt.relay.instance.instance
        sent_s = sent_attempt.sent_at.total_seconds()
        now_s = self.now_s()
        if not self._times.is_known(agent, sent_s, now_s):
            self._times.add(agent, now_s)
        crashed_s, number = self._times.get_last(agent)
        emit(
            Event.REPLICA_CRASHED,
            replica=agent,
            service=call.service,
            evidence="agent",
            count=1,
            requests=[{"request": call.request_id, "features": call.features}],
        )
        self._quarantine.observe_crash(
            f"{agent}/{self._entry[-32:]}/{number}",
            call.service,
            "",
            [SuspectAttempt(sent_s, call.features)],
            entry=self._entry,
            replica_count=self._count_replicas(call.route.deployment),
            seen_s=crashed_s,
            now_s=now_s,
        )

    # Heartbeats.

    def make_update(self, peer: InstanceId) -> tuple[bytes, bytes]:
        """Returns what a peer may lack, and the digest of all that is known."""
        if self._quarantine.revision != self._digest_revision:
            self._digest = _digest(self._quarantine.encode_all(self.now_s()))
            self._digest_revision = self._quarantine.revision
        if self._digest in (_EMPTY_DIGEST, self._peer_digests.get(peer)):
            return b"", self._digest
        items = self._quarantine.encode_all(self.now_s())
        update = json.dumps(items, separators=(",", ":")).encode()
        return update, self._digest

    def apply_update(
        self, peer: InstanceId, update: bytes, digest: bytes
    ) -> None:
        """Applies the update of a peer; ignores a malformed one."""
        if len(self._peer_digests) >= _MAX_PEERS:
            self._peer_digests.clear()
        self._peer_digests[peer] = digest
        if not update:
            return
        try:
            self._quarantine.merge(json.loads(update), self.now_s(), peer)
        except (ValueError, RecursionError) as error:
            emit(Event.BATCH_REJECTED, peer=peer, error=repr(error))
