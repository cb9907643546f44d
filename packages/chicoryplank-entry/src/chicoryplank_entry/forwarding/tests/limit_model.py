"""Model of a replica that limits the requests of all entries of a fleet."""

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.traffic import ReplicaRecord, ReplicaState
from chicoryplank_entry.forwarding.tests.retry_model import SERVICE, Fleet

REPLICA = InstanceId("replica")
_RECORD = ReplicaRecord(
    REPLICA, SERVICE, "10.0.2.1:1", ZoneId("a"), 1_000, ReplicaState.READY
)
_WINDOW_S = 4.0
# An entry must keep a limit that it has known for this time, in seconds.
_LEARNING_S = 0.5
_MAX_ATTEMPTS = 3


class LimitedFleet(Fleet):
    """Fleet whose callers all want one replica, which may name a limit.

    Attributes:
        limit: Limit that the replica names; None if it names none.
        named_s: Time since which the replica names a limit.
        arrivals: Time and limit of each request at the replica, if its entry
            had to keep the limit.
        arrival_count: Number of all requests at the replica.
    """

    def __init__(self, seed, entry_count, loss=0.02):
        self.limit = None
        self.named_s = float("inf")
        self.arrivals = []
        self.arrival_count = 0
        self._loss = loss
        self._known_since_s = {}
        super().__init__(seed, entry_count)

    def _start(self, name):
        super()._start(name)
        self._known_since_s.pop(name, None)
        self.processes[name].state.registry.put(_RECORD)

    def deliver(self, data, sender, address):
        if self.rng.random() >= self._loss:
            super().deliver(data, sender, address)

    def name_limit(self, limit):
        """Makes the replica name a limit from now on, or none."""
        if self.limit is None and limit is not None:
            self.named_s = self.now_s
        self.limit = limit

    def _forward(self, name):
        process = self.processes.get(name)
        if process is None or not process.has_read_store:
            return
        permits = process.peers.permits
        limits = process.state.server_limits
        for _ in range(_MAX_ATTEMPTS):
            if process.state.holds.is_held(REPLICA, self.now_s):
                return
            if limits.get(REPLICA) is not None:
                waits = [0.1]
                permits.request(REPLICA, waits.append)
                if not permits.apply_wait(REPLICA, waits[-1]):
                    return
            self._receive(name, process)
            # The replica rejects some requests, which are sent again.
            if self.rng.random() < 0.7:
                return

    def _receive(self, name, process):
        now_s = self.now_s
        self.arrival_count += 1
        known_s = self._known_since_s.get(name, float("inf"))
        if self.limit is not None and now_s - known_s >= _LEARNING_S:
            self.arrivals.append((now_s, self.limit))
        text = None if self.limit is None else str(self.limit)
        process.state.server_limits.read(REPLICA, text, now_s, now_s)
        if process.state.server_limits.get(REPLICA) is None:
            self._known_since_s.pop(name, None)
        else:
            self._known_since_s.setdefault(name, now_s)

    def find_excess(self):
        """Returns the greatest excess of requests over the limit in 4 s.

        The limit of a window is the greatest one that was named in it.
        """
        arrivals = [
            item for item in self.arrivals if item[0] >= self.named_s + 3.0
        ]
        worst = float("-inf")
        for first, (start_s, _) in enumerate(arrivals):
            limits = [
                limit
                for at_s, limit in arrivals[first:]
                if at_s < start_s + _WINDOW_S
            ]
            allowed = 1.5 * _WINDOW_S * max(limits) + 5
            worst = max(worst, len(limits) - allowed)
        return worst
