"""Model of a fleet whose replicas crash under some requests.

The entries use the real attribution of crashes, exchange of messages and
records in the store; the network, the store, the callers, the replicas and the
clock are simulated.
"""

import dataclasses
import random

from chicoryplank.ids import InstanceId
from chicoryplank.quarantine import (
    FeatureId,
    SuspectAttempt,
    make_part_feature,
    make_request_feature,
)
from chicoryplank.store import Record, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding.tests.retry_model import (
    SERVICE,
    EntryProcess,
    Fleet,
)
from chicoryplank_entry.quarantine import QuarantineRecords

CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
_SHARED = make_part_feature(SERVICE, "shared")
_PARTS = 12
_STALL_S = 1.5
_FORM_S = 2.5


@dataclasses.dataclass(eq=False)
class ModelAttempt:
    """A request at a replica."""

    entry: InstanceId
    process: EntryProcess
    replica: int
    features: tuple[FeatureId, ...]
    is_harmful: bool
    sent_s: float
    begins_s: float
    ends_s: float


@dataclasses.dataclass
class ModelReplica:
    """A replica, which may be down."""

    up_from_s: float = 0.0
    lifetime: int = 1


@dataclasses.dataclass(frozen=True)
class Sound:
    """Fate of the first attempt of a sound request."""

    at_s: float
    was_sent: bool
    is_quarantined: bool


class ModelStore:
    """Store with one document."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.value = None
        self.revision = 0

    def _check(self):
        if self._fleet.now_s < self._fleet.store_away_until_s:
            raise StoreError("away", Verdict.NOT_RUN)

    async def read(self, key):
        self._check()
        if self.value is None:
            return None
        return Record(key, self.value, self.revision)

    async def swap(self, key, value, expected_revision, lease=0):
        self._check()
        if expected_revision != self.revision:
            return SwapOutcome.CONFLICT, self.revision
        self.value = value
        self.revision += 1
        return SwapOutcome.SWAPPED, self.revision


class CrashFleet(Fleet):
    """Entries and replicas; some requests crash the replica they are sent to.

    Args:
        seed: Seed of the random number generator.
        entry_count: Number of entries.
        replica_count: Number of replicas.
        is_lockstep: Whether the replicas are ranks of one group, which stalls
            when one of them crashes.
        is_mechanism_on: Whether crashes are reported to the quarantine.
        is_repeated: Whether the harmful requests are one that comes again;
            otherwise they share a part of the prompt.

    Attributes:
        crash_times: Times of the crashes under harmful requests.
        harmful_arrivals: Times at which entries in touch sent such requests.
        sound: Fates of the sound requests to entries in touch.
    """

    def __init__(
        self,
        seed,
        entry_count,
        replica_count,
        *,
        is_lockstep,
        is_mechanism_on=True,
        is_repeated=False,
    ):
        self.model_store = ModelStore(self)
        self.untouched_since_s = {}
        self.store_disturbed_until_s = float("-inf")
        self._seen_revisions = {}
        self._records = {}
        super().__init__(seed, entry_count)
        self.replicas = [ModelReplica() for _ in range(replica_count)]
        self._is_lockstep = is_lockstep
        self._is_mechanism_on = is_mechanism_on
        self._attempts = []
        self._pending = []
        self._pending_stalls = []
        self._group_opens_s = float("-inf")
        self.harmful_share = 0.0
        self.harmful_feature = make_part_feature(SERVICE, "harmful")
        if is_repeated:
            self.harmful_feature = self._make_request_feature("harmful")
        self._is_repeated = is_repeated
        self.crash_times = []
        self.harmful_arrivals = []
        self.sound = []

    # Entries and the store.

    def _start(self, name):
        super()._start(name)
        self._touch(name)
        process = self.processes[name]
        self._seen_revisions[name] = -1
        self._records[name] = QuarantineRecords(
            self.model_store,
            process.state.quarantine,
            process.state.now_s,
            name,
            process.peers.list_live_members,
        )

    def _touch(self, name, duration_s=0.0):
        """Records a disturbance of an entry, after which it isn't in touch."""
        until_s = max(
            self.untouched_since_s.get(name, float("-inf")),
            self.now_s + duration_s,
        )
        self.untouched_since_s[name] = until_s

    def kill(self, name):
        super().kill(name)
        self._touch(name)

    def drain(self, name):
        super().drain(name)
        self._touch(name, 10.0)

    def freeze(self, name, duration_s):
        super().freeze(name, duration_s)
        self._touch(name, duration_s)

    def cut(self, name, duration_s, *, from_store=True):
        super().cut(name, duration_s, from_store=from_store)
        self._touch(name, duration_s)

    def lose_store(self, duration_s):
        super().lose_store(duration_s)
        self.store_disturbed_until_s = self.now_s + duration_s

    def _is_in_touch(self, name):
        disturbed_s = max(
            self.untouched_since_s[name], self.store_disturbed_until_s
        )
        return self.now_s - disturbed_s > CONTACT_S

    def _update_registrations(self):
        super()._update_registrations()
        if self.now_s < self.store_away_until_s:
            return
        for name in self.processes:
            if not self._is_active(name):
                continue
            records = self._records[name]
            store = self.model_store
            if self._seen_revisions[name] != store.revision:
                records.observe(store.value, store.revision)
                self._seen_revisions[name] = store.revision
            if self._is_mechanism_on:
                run_to_end(records.save_if_due())
                self._seen_revisions[name] = store.revision

    # Requests.

    def _send_requests(self, expected):
        self._end_attempts()
        count = int(expected) + (self.rng.random() < expected % 1)
        names = sorted(self.processes)
        for _ in range(count):
            is_harmful = self.rng.random() < self.harmful_share
            if names:
                name = self.rng.choice(names)
                if self.frozen_until_s[name] <= self.now_s:
                    self._send_request(name, is_harmful)

    def _send_request(self, name, is_harmful):
        process = self.processes[name]
        if not process.has_read_store:
            return
        features = self._draw_features(is_harmful)
        in_touch = self._is_in_touch(name)
        verdict = process.state.quarantine.find_verdict(features)
        sent = False
        if verdict is None:
            sent = self._send_attempt(name, process, features, is_harmful)
        if in_touch and is_harmful and sent:
            self.harmful_arrivals.append(self.now_s)
        if in_touch and not is_harmful:
            self.sound.append(Sound(self.now_s, sent, verdict is not None))

    def _draw_features(self, is_harmful):
        """Returns the features of a request; some sound ones come again too."""
        if self._is_repeated:
            if is_harmful:
                return (self.harmful_feature,)
            number = self.rng.randrange(4 * _PARTS)
            return (self._make_request_feature(number),)
        part = f"part-{self.rng.randrange(_PARTS)}"
        number = self.rng.random()
        features = [
            self._make_request_feature(number),
            _SHARED,
            make_part_feature(SERVICE, part),
        ]
        if is_harmful:
            features.append(self.harmful_feature)
        return tuple(features)

    def _make_request_feature(self, number):
        return make_request_feature(SERVICE, "shop", "GET", f"/{number}", b"")

    def _send_attempt(self, name, process, features, is_harmful):
        now_s = self.now_s
        up = [
            number
            for number, replica in enumerate(self.replicas)
            if replica.up_from_s <= now_s and self._group_opens_s <= now_s
        ]
        if not up:
            return False
        begins_s = now_s + self.rng.uniform(0.02, 0.3)
        duration_s = self.rng.uniform(0.3, 2.0)
        if is_harmful:
            duration_s = self.rng.uniform(0.02, 0.1)
        self._attempts.append(
            ModelAttempt(
                name,
                process,
                self.rng.choice(up),
                features,
                is_harmful,
                now_s,
                begins_s,
                begins_s + duration_s,
            )
        )
        return True

    def _end_attempts(self):
        now_s = self.now_s
        for attempt in list(self._attempts):
            if attempt.ends_s > now_s or attempt not in self._attempts:
                continue
            if attempt.is_harmful:
                self.crash_times.append(now_s)
                self.crash_replica(attempt.replica)
            else:
                self._attempts.remove(attempt)
                self._observe(attempt, self._report_success, True)
        for process, report in list(self._pending):
            name = process.member.instance
            if self.processes.get(name) is not process:
                self._pending.remove((process, report))
            elif self.frozen_until_s[name] <= now_s:
                self._pending.remove((process, report))
                report()

    def crash_replica(self, number):
        """Ends a replica; its requests are lost, its group stalls."""
        now_s = self.now_s
        replica = self.replicas[number]
        if replica.up_from_s > now_s:
            return
        crash = f"replica-{number}/{replica.lifetime}"
        replica.lifetime += 1
        replica.up_from_s = now_s + self.rng.uniform(2.0, 4.0)
        lost = [item for item in self._attempts if item.replica == number]
        self._attempts = [
            item for item in self._attempts if item.replica != number
        ]
        by_process = {}
        for attempt in lost:
            by_process.setdefault(attempt.process, []).append(attempt)
        for attempts in by_process.values():
            self._observe(attempts[0], self._report_crash, crash, attempts)
        if self._is_lockstep:
            self._stall(now_s)

    def _stall(self, now_s):
        """Holds the group back, which drops its requests after a while."""
        for attempt in self._attempts:
            if attempt.is_harmful and attempt.begins_s <= now_s:
                continue
            self._pending_stalls.append((now_s + _STALL_S, attempt))
        self._attempts = [
            item
            for item in self._attempts
            if item.is_harmful and item.begins_s <= now_s
        ]
        self._group_opens_s = now_s + _STALL_S + _FORM_S

    def _send_updates(self):
        now_s = self.now_s
        due = [item for item in self._pending_stalls if item[0] <= now_s]
        self._pending_stalls = [
            item for item in self._pending_stalls if item[0] > now_s
        ]
        for at_s, attempt in due:
            if attempt.begins_s <= at_s - _STALL_S:
                self._observe(attempt, self._report_success, False)
        super()._send_updates()

    def _observe(self, attempt, report, *arguments):
        """Lets an entry notice something once it runs."""
        self._pending.append(
            (attempt.process, lambda: report(attempt, *arguments))
        )

    def _report_crash(self, first, crash, attempts):
        if not self._is_mechanism_on:
            return
        now_s = self.now_s
        first.process.state.quarantine.observe_crash(
            crash,
            SERVICE,
            "v1",
            [
                SuspectAttempt(attempt.sent_s, attempt.features)
                for attempt in attempts
            ],
            entry=first.entry,
            replica_count=len(self.replicas),
            seen_s=now_s,
            now_s=now_s,
        )

    def _report_success(self, attempt, is_complete):
        quarantine = attempt.process.state.quarantine
        if quarantine.is_watching(SERVICE):
            quarantine.observe_success(
                SERVICE,
                attempt.features,
                attempt.sent_s,
                self.now_s,
                is_complete=is_complete,
            )

    # Checks.

    def count_late_arrivals(self, crash_count):
        """Returns the harmful requests sent once enough crashes are known."""
        if len(self.crash_times) < crash_count:
            return 0
        known_s = self.crash_times[crash_count - 1] + CONTACT_S
        return sum(at > known_s for at in self.harmful_arrivals)

    def count_refused_sound(self, crash_count):
        """Counts the sound requests once enough crashes are known.

        Returns:
            How many were refused as if they were harmful, and how many there
            were.
        """
        number = min(crash_count, len(self.crash_times))
        known_s = 2 * CONTACT_S
        if number:
            known_s += self.crash_times[number - 1]
        later = [item for item in self.sound if item.at_s > known_s]
        return sum(item.is_quarantined for item in later), len(later)


def run_to_end(coroutine):
    """Runs a coroutine that never waits; ignores an unavailable store."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    except StoreError:
        return
    raise AssertionError("the coroutine waits")


def disturb(fleet):
    """Applies a random disturbance of entries or replicas."""
    rng: random.Random = fleet.rng
    names = sorted(fleet.processes)
    names = rng.sample(names, rng.randint(0, len(names)))
    kind = rng.choice(
        ("kill", "drain", "freeze", "cut", "store", "crash", "crash", "calm")
    )
    if kind == "store":
        fleet.lose_store(rng.uniform(0.5, 4.0))
    elif kind == "crash":
        count = rng.randint(1, max(1, len(fleet.replicas) // 3))
        for number in rng.sample(range(len(fleet.replicas)), count):
            fleet.crash_replica(number)
    else:
        fleet.disturb(kind, names)
