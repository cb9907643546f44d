"""Model of entries that restart, freeze or are cut off and retry requests.

The entries use the real exchange of messages and the real admission of
retries; the network, the store, the callers and the clock are simulated.
"""

import collections
import random
from datetime import timedelta
from types import SimpleNamespace

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import ManualClock
from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import InstanceId, ServiceId, ZoneId
from chicoryplank_entry.forwarding.admission import CallAdmission
from chicoryplank_entry.forwarding.members import Member
from chicoryplank_entry.forwarding.parameters import ExchangeParameters
from chicoryplank_entry.forwarding.peers import Peers
from chicoryplank_entry.forwarding.state import EntryState

SERVICE = ServiceId("llm")
TICK_S = 0.05
_MAX_RETRIES = 5
_START_S = 0.6
_DRAIN_S = 3.0
_LEASE_S = 15.0


class _Transport:
    def __init__(self, model, name):
        self._model = model
        self._name = name

    def sendto(self, data, address):
        self._model.deliver(data, self._name, f"{address[0]}:{address[1]}")


class EntryProcess:
    """One process of an entry."""

    def __init__(self, model, member):
        self.member = member
        self.state = EntryState(
            model.clock,
            ZoneId(member.zone),
            random.Random(1),
            model.parameters,
            2.0,
        )
        self.peers = Peers(
            member, self.state, random.Random(1), lambda revision: None
        )
        self.peers.connection_made(_Transport(model, member.instance))
        self.admission = CallAdmission(self.state, ExchangeParameters())
        # Without a configuration, which it reads with the registrations, an
        # entry refuses all requests.
        self.has_read_store = False
        self.next_update_s = 0.0
        self.ends_s = float("inf")

    def forward(self, now_s, is_rejected, retries):
        """Forwards a request that replicas reject; appends retry times."""
        service = self.state.get_service(SERVICE)
        service.retry_budget.observe_request()
        call = SimpleNamespace(
            service_state=service,
            attempts=0,
            verdict=None,
            caller_deadline_s=now_s,
        )
        for attempt in range(_MAX_RETRIES + 1):
            call.attempts = attempt
            call.is_retry_charged = False
            try:
                self.admission.spend_retry(call)
            except ChicoryplankError:
                return
            if attempt:
                retries.append(now_s)
            if not is_rejected():
                return


class Fleet:
    """Entries, their registrations in a store, and their callers.

    Attributes:
        requests: Times at which callers sent a request.
        retries: Times at which an entry retried one.
    """

    def __init__(self, seed, entry_count, parameters=None):
        self.rng = random.Random(seed)
        self.parameters = parameters or RetryBudgetParameters(0.2, 90)
        self.clock = ManualClock()
        self.requests = []
        self.retries = []
        self.rejecting = False
        self._members = {}
        for number in range(entry_count):
            name = InstanceId(f"entry-{number:02}")
            self._members[name] = Member(
                name,
                "abc"[number % 3],
                f"10.0.1.1:{number + 1}",
                f"10.0.0.1:{number + 1}",
            )
        self._by_address = {
            member.peer_address: name for name, member in self._members.items()
        }
        self.processes = {}
        self.registered = {}
        self.starts_s = {}
        self.frozen_until_s = collections.defaultdict(float)
        self.held = collections.Counter()
        self.cut_until_s = collections.defaultdict(float)
        self.cut_from_store_until_s = collections.defaultdict(float)
        self.store_away_until_s = 0.0
        for name in self._members:
            self._start(name)

    @property
    def now_s(self):
        return self.clock.elapsed().total_seconds()

    def deliver(self, data, sender, address):
        receiver = self._by_address[address]
        process = self.processes.get(receiver)
        if process is None or self._is_cut(sender) or self._is_cut(receiver):
            return
        if self.frozen_until_s[receiver] <= self.now_s:
            process.peers.datagram_received(data, ("10.0.0.1", 1))

    def _is_cut(self, name):
        return self.cut_until_s[name] > self.now_s

    def _start(self, name):
        self.starts_s.pop(name, None)
        self.processes[name] = EntryProcess(self, self._members[name])

    # Disturbances.

    def kill(self, name):
        """Ends a process; its registration remains until its lease ends."""
        if self.processes.pop(name, None) is not None:
            self.starts_s[name] = self.now_s + _START_S
            if name in self.registered:
                self.registered[name] = self.now_s + _LEASE_S

    def drain(self, name):
        """Withdraws the registration; the process serves a while longer."""
        process = self.processes.get(name)
        if process is None or process.state.is_draining:
            return
        process.state.is_draining = True
        process.peers.send_own_counts()
        process.ends_s = self.now_s + _DRAIN_S
        self.registered.pop(name, None)

    def freeze(self, name, duration_s):
        self.frozen_until_s[name] = self.now_s + duration_s

    def cut(self, name, duration_s, *, from_store=True):
        """Cuts an entry off from the others, and possibly from the store."""
        self.cut_until_s[name] = self.now_s + duration_s
        if from_store:
            self.cut_from_store_until_s[name] = self.now_s + duration_s

    def lose_store(self, duration_s):
        """Makes the store unavailable; all registrations lapse."""
        self.registered.clear()
        self.store_away_until_s = self.now_s + duration_s

    def disturb(self, kind, names):
        """Applies a disturbance to some entries, with a random duration."""
        for name in names:
            if kind == "kill":
                self.kill(name)
            elif kind == "drain":
                self.drain(name)
            elif kind == "freeze":
                self.freeze(name, self.rng.uniform(0.5, 4.0))
            elif kind == "cut":
                self.cut(
                    name,
                    self.rng.uniform(0.5, 6.0),
                    from_store=self.rng.random() < 0.5,
                )

    # Progress of time.

    def run(self, duration_s, rate_per_s):
        for _ in range(round(duration_s / TICK_S)):
            self.clock.advance(timedelta(seconds=TICK_S))
            self._update_processes()
            self._update_registrations()
            self._send_updates()
            self._send_requests(rate_per_s * TICK_S)

    def _update_processes(self):
        now_s = self.now_s
        for name, process in list(self.processes.items()):
            if now_s >= process.ends_s:
                del self.processes[name]
                self.starts_s[name] = now_s + _START_S
        for name, at_s in list(self.starts_s.items()):
            if now_s >= at_s and now_s >= self.store_away_until_s:
                self._start(name)

    def _update_registrations(self):
        now_s = self.now_s
        if now_s < self.store_away_until_s:
            return
        for name, process in self.processes.items():
            if process.state.is_draining or not self._is_active(name):
                continue
            # A registration that lapsed is written again within half a second.
            if name not in self.registered and self.rng.random() < 0.2:
                self.registered[name] = float("inf")
        for name, ends_s in list(self.registered.items()):
            if now_s >= ends_s and name not in self.processes:
                del self.registered[name]
        members = {name: self._members[name] for name in self.registered}
        for name, process in self.processes.items():
            if self._is_active(name):
                process.peers.set_members(members)
                process.has_read_store = True

    def _is_active(self, name):
        """Returns whether the entry runs and reaches the store."""
        return (
            self.cut_from_store_until_s[name] <= self.now_s
            and self.frozen_until_s[name] <= self.now_s
        )

    def _send_updates(self):
        for name, process in self.processes.items():
            if self.frozen_until_s[name] <= self.now_s >= process.next_update_s:
                process.next_update_s = self.now_s + 0.1
                process.peers.send_updates()

    def _send_requests(self, expected):
        count = int(expected) + (self.rng.random() < expected % 1)
        names = sorted(self.processes)
        for _ in range(count):
            self.requests.append(self.now_s)
            if names:
                self.held[self.rng.choice(names)] += 1
        # A frozen entry forwards the requests that it holds when it resumes;
        # those of an entry that ended are lost.
        for name in sorted(self.held):
            if self.frozen_until_s[name] <= self.now_s:
                for _ in range(self.held.pop(name)):
                    self._forward(name)

    def _forward(self, name):
        process = self.processes.get(name)
        if process is not None and process.has_read_store:
            process.forward(
                self.now_s,
                lambda: self.rejecting and self.rng.random() < 0.95,
                self.retries,
            )

    # Check.

    def find_excess(self):
        """Returns the greatest excess of retries over the bound in a window.

        The bound counts the requests of the window, of the one before it or of
        the one half a window before it, whichever has most.
        """
        window_s = self.parameters.window.total_seconds()
        worst = float("-inf")
        for first, start_s in enumerate(self.retries):
            retries = sum(
                at < start_s + window_s for at in self.retries[first:]
            )
            requests = max(
                sum(begin <= at < begin + window_s for at in self.requests)
                for begin in (
                    start_s,
                    start_s - window_s / 2,
                    start_s - window_s,
                )
            )
            allowed = self.parameters.ratio * requests + self.parameters.extra
            worst = max(worst, retries - allowed)
        return worst
