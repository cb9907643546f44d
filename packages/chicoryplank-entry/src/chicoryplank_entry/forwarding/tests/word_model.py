"""Model of entries and of replicas that leave, pause and start again.

The entries use the real choice of a replica and the real holds; the replicas,
the registrations, the network and the clock are simulated.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from datetime import timedelta

from chicoryplank.admission import (
    WITHDRAWN,
    HoldReason,
    RetryBudgetParameters,
)
from chicoryplank.clock import ManualClock
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ReplicaState
from chicoryplank_entry.forwarding.state import EntryState

_SERVICE = ServiceId("llm")
_TICK_S = 0.02
_DRAIN_S = 2.0
_PAUSE_NOTICE_S = 0.5
# Longest time to make a connection and to send a request, in seconds.
_MAX_CONNECT_S = 0.3
_MAX_RESPONSE_S = 0.4
_LOST_SHARE = 0.05
_SLOTS = 8


@dataclasses.dataclass
class _Replica:
    """Replica; `born` counts its starts, of which each is another process."""

    instance: InstanceId
    born: int = 1
    is_leaving: bool = False
    paused_until_s: float = 0.0
    is_registered: bool = True

    def make_record(self):
        return ReplicaRecord(
            self.instance,
            _SERVICE,
            f"10.0.0.{self.instance[1:]}:1",
            ZoneId("a"),
            _SLOTS,
            ReplicaState.READY,
            started_ms=self.born,
        )


class WordFleet:
    """Entries that forward requests to replicas with words of their own.

    Attributes:
        late_arrivals: Requests that reached a leaving replica later than the
            drain time after the same entry had received its word.
        pauses: Requests in each pause of a replica, by entry and pause.
        sent: Number of requests.
        served: Number of requests that a replica served.
    """

    def __init__(self, seed, entries=3, replicas=6):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.replicas = [
            _Replica(InstanceId(f"r{number}")) for number in range(replicas)
        ]
        self.entries = [
            EntryState(
                self.clock,
                ZoneId("a"),
                random.Random(number),
                RetryBudgetParameters(0.2, 90),
                2.0,
            )
            for number in range(entries)
        ]
        for state in self.entries:
            state.registry.observe_recovery(0.0)
            state.get_service(_SERVICE)
        self.late_arrivals = 0
        self.pauses = collections.Counter()
        self.sent = 0
        self.served = 0
        self._known_words = {}
        self._known_pauses = collections.defaultdict(list)
        self._events = []
        self._numbers = itertools.count()
        self._publish()

    @property
    def now_s(self):
        return self.clock.elapsed().total_seconds()

    def _at(self, delay_s, action):
        item = (self.now_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, item)

    def _publish(self):
        """Passes the registrations to the entries, as a change would."""
        for state in self.entries:
            for replica in self.replicas:
                known = state.registry.get(replica.instance)
                if not replica.is_registered:
                    state.registry.remove(replica.instance, self.now_s)
                    continue
                if known is None or known.started_ms != replica.born:
                    state.readmit(replica.instance)
                state.registry.put(replica.make_record())
            state.refresh_candidates()

    def run(self, duration_s, rate_per_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.clock.advance(timedelta(seconds=_TICK_S))
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            if self.rng.random() < rate_per_s * _TICK_S:
                self.sent += 1
                self._choose(self.rng.choice(self.entries), attempts=4)

    def disturb(self):
        """Changes one replica; at least half of them stay sound."""
        sound = [
            item
            for item in self.replicas
            if not item.is_leaving
            and item.paused_until_s <= self.now_s
            and item.is_registered
        ]
        replica = self.rng.choice(self.replicas)
        if replica in sound and len(sound) <= len(self.replicas) // 2:
            return
        kind = self.rng.choice(("leave", "pause", "restart", "lapse"))
        if kind == "leave":
            replica.is_leaving = True
        elif kind == "pause":
            replica.paused_until_s = self.now_s + self.rng.uniform(1.0, 4.0)
        elif kind == "restart":
            replica.born += 1
            replica.is_leaving = False
            replica.paused_until_s = 0.0
        else:
            replica.is_registered = False
            self._at(0.6, lambda: self._register(replica))
        self._publish()

    def _register(self, replica):
        replica.is_registered = True
        self._publish()

    def _choose(self, state, attempts):
        service = state.get_service(_SERVICE)
        full = state.list_full_replicas(service, 0, self.now_s)
        record = state.choose_replica(service, full, self.now_s)
        if record is None or not attempts:
            return
        state.begin_request(service, record.instance, self.now_s)
        delay_s = self.rng.uniform(0.0, _MAX_CONNECT_S)
        self._at(delay_s, lambda: self._send(state, record, attempts))

    def _send(self, state, record, attempts):
        service = state.get_service(_SERVICE)
        if state.holds.is_held(record.instance, self.now_s, WITHDRAWN):
            state.end_request(service, record.instance, None, self.now_s)
            self._choose(state, attempts)
            return
        replica = next(
            item for item in self.replicas if item.instance == record.instance
        )
        self._record_arrival(state, replica)
        pause_s = replica.paused_until_s - self.now_s
        word = replica.is_leaving, replica.born, replica.paused_until_s
        is_lost = self.rng.random() < _LOST_SHARE
        self._at(
            self.rng.uniform(0.0, _MAX_RESPONSE_S),
            lambda: self._receive(state, record, word, is_lost, attempts),
        )
        if pause_s > 0 and not is_lost:
            self._known_pauses[id(state), replica.instance].append(
                (self.now_s, *word[1:])
            )

    def _record_arrival(self, state, replica):
        key = id(state), replica.instance
        word = self._known_words.get((*key, replica.born))
        if word is not None and self.now_s - word > _DRAIN_S:
            self.late_arrivals += 1
        for answered_s, born, until_s in self._known_pauses[key]:
            if (
                born == replica.born
                and answered_s + _PAUSE_NOTICE_S < self.now_s < until_s
            ):
                self.pauses[(*key, answered_s)] += 1

    def _receive(self, state, record, word, is_lost, attempts):
        service = state.get_service(_SERVICE)
        is_leaving, born, paused_until_s = word
        state.observe_progress(service, record.instance, self.now_s)
        state.end_request(service, record.instance, None, self.now_s)
        if is_lost:
            return
        if is_leaving:
            self._known_words.setdefault(
                (id(state), record.instance, born), self.now_s
            )
            state.replica_words.observe_leaving(record)
        if paused_until_s > self.now_s:
            state.replica_words.observe_pause(
                record, f"{paused_until_s - self.now_s:.3f}"
            )
            self._choose(state, attempts - 1)
        else:
            self.served += 1


def remove_leaving(state):
    """Removes what is learned from the leaving header."""
    state.replica_words.observe_leaving = lambda replica: None


def remove_pauses(state):
    """Removes what is learned from Retry-After."""
    state.replica_words.observe_pause = lambda replica, text: None


def remove_memory(state):
    """Removes the memory of holds beyond a registration."""
    readmit = state.readmit

    def forget(instance):
        for reason in HoldReason:
            state.holds.release(instance, reason)
        readmit(instance)

    state.readmit = forget
