"""Model of a replica that is cold while all entries of a fleet want it."""

import collections
import dataclasses
from datetime import timedelta

from chicoryplank.admission import ColdBoundParameters
from chicoryplank.ids import ConfigVersion, InstanceId, ZoneId
from chicoryplank.rendezvous import digest, rank_members
from chicoryplank.traffic import (
    ReplicaRecord,
    ReplicaState,
    Service,
    TrafficConfiguration,
)
from chicoryplank_entry.forwarding.cold_starts import add_cold_start_limit
from chicoryplank_entry.forwarding.permits import Permit
from chicoryplank_entry.forwarding.tests.retry_model import SERVICE, Fleet

REPLICA = InstanceId("replica")
COLD_S = 3.0
BOUND = 26
_PARAMETERS = ColdBoundParameters(1.5, 5.0)
_CONFIGURATION = TrafficConfiguration(
    ConfigVersion(1),
    (),
    {
        SERVICE: Service(
            SERVICE,
            cold_start=timedelta(seconds=COLD_S),
            cold_requests_per_s=14.0,
        )
    },
)
# Requests per second of all entries to the replica while it is one of many
# warm ones, as entries send that do not know yet that it is cold.
_WARM_RATE = 2.0
_MAX_LAG_S = 0.4
_CONNECT_TIMES_S = (0.0, 0.0, 0.0, 0.0, 0.05, 0.1, 0.15, 0.3)


class ColdFleet(Fleet):
    """Fleet whose callers all want one replica while it is cold.

    Attributes:
        arrivals: Times of the requests at the replica while it is cold.
        trap_until_s: Time until which an entry freezes as soon as it has a
            permit, unless it is the issuer.
        connect_times_s: Times from the grant of a permit to the write of the
            request, of which one is drawn.
    """

    def __init__(self, seed, entry_count, loss=0.02):
        self.arrivals = []
        self.cold_until_s = 0.0
        self.trap_until_s = 0.0
        self.connect_times_s = _CONNECT_TIMES_S
        self._loss = loss
        self._seed = seed
        self._sent = collections.Counter()
        self._rate_per_s = 0.0
        self._writes = []
        self._record = ReplicaRecord(
            REPLICA,
            SERVICE,
            "10.0.2.1:1",
            ZoneId("a"),
            1_000,
            ReplicaState.READY,
            started_ms=1_000,
            cold_remaining=timedelta(),
            revision=1,
        )
        self._written_s = 0.0
        self._lags_s = {}
        super().__init__(seed, entry_count)

    def _start(self, name):
        super()._start(name)
        process = self.processes[name]
        peers = process.peers
        add_cold_start_limit(
            peers.permits, process.state, peers.list_live_members, _PARAMETERS
        )
        process.state.activate(_CONFIGURATION)
        self._lags_s[name] = 0.0

    def deliver(self, data, sender, address):
        # A draw from the random number generator would depend on the order of
        # the messages, and hubs send to members in the order of a set.
        link = f"{self._seed} {sender} {address}"
        self._sent[link] += 1
        if digest(f"{link} {self._sent[link]}") >= self._loss * 2**64:
            super().deliver(data, sender, address)

    # The replica.

    def turn_cold(self):
        """Makes the replica cold, mostly by a restart."""
        remaining = timedelta(seconds=COLD_S)
        started_ms = self._record.started_ms
        if self.rng.random() < 0.7:
            started_ms += 1
            # The start alone must tell that the replica is cold.
            remaining = self.rng.choice((remaining, None, timedelta()))
        self._write_registration(started_ms, remaining)
        self.cold_until_s = self.now_s + COLD_S

    def _write_registration(self, started_ms, remaining):
        self._record = dataclasses.replace(
            self._record,
            started_ms=started_ms,
            cold_remaining=remaining,
            revision=self._record.revision + 1,
        )
        self._written_s = self.now_s
        for name in self.processes:
            self._lags_s[name] = self.rng.uniform(0.0, _MAX_LAG_S)

    def _update_registrations(self):
        super()._update_registrations()
        for name, process in self.processes.items():
            known = process.state.registry.get(REPLICA)
            if (
                process.has_read_store
                and self._is_active(name)
                and self.now_s >= self._written_s + self._lags_s[name]
                and (known is None or known.revision < self._record.revision)
            ):
                process.state.registry.put(self._record)
                process.state.refresh_candidates()

    # The requests.

    def run(self, duration_s, rate_per_s):
        self._rate_per_s = rate_per_s
        super().run(duration_s, rate_per_s)

    def _send_requests(self, expected):
        due = [item for item in self._writes if self._is_due(item)]
        self._writes = [item for item in self._writes if item not in due]
        for _, _, process, permit in due:
            if process.peers.permits.is_usable(REPLICA, permit):
                self._receive()
        super()._send_requests(expected)

    def _is_due(self, item):
        at_s, name, _, _ = item
        return at_s <= self.now_s >= self.frozen_until_s[name]

    def _forward(self, name):
        process = self.processes.get(name)
        if process is None or not process.has_read_store:
            return
        state = process.state
        permits = process.peers.permits
        asked_s = float("-inf")
        if not state.cold_replicas.is_cold(REPLICA, self.now_s):
            if self.rng.random() > _WARM_RATE / self._rate_per_s:
                return
        elif state.holds.is_held(REPLICA, self.now_s):
            return
        else:
            asked_s = self.now_s
            waits = [0.1]
            permits.request(REPLICA, waits.append)
            if not permits.apply_wait(REPLICA, waits[-1]):
                return
        delay_s = self.rng.choice(self.connect_times_s)
        item = (self.now_s + delay_s, name, process, Permit(asked_s))
        if (
            asked_s > 0
            and self.now_s < self.trap_until_s
            and name != self.choose_issuer()
        ):
            self.freeze(name, self.trap_until_s - self.now_s)
        if self._is_due(item):
            self._receive()
        else:
            self._writes.append(item)

    def _receive(self):
        if self.now_s < self.cold_until_s:
            self.arrivals.append(self.now_s)

    # Disturbances.

    def choose_issuer(self):
        """Returns the entry that issues the permits, of those not draining."""
        names = [
            name
            for name, process in self.processes.items()
            if not process.state.is_draining
        ]
        return rank_members(REPLICA, names)[0]

    def drain_issuers(self, count, rate_per_s):
        """Drains one issuer after the other, as soon as it has taken over."""
        for _ in range(count):
            self.drain(self.choose_issuer())
            self.run(0.05, rate_per_s)

    def find_worst_second(self):
        """Returns the greatest number of requests in any sliding second."""
        return max(
            (
                sum(start_s <= at_s < start_s + 1.0 for at_s in self.arrivals)
                for start_s in self.arrivals
            ),
            default=0,
        )
