"""Measures how configuration versions spread from the store to all processes.

A simulation calls the decisions of chicoryplank.membership in simulated time.
Entries send heartbeats to their parents and fetch newer versions from each
other; the entries that watch the store read new versions from it; each agent
receives version announcements from one entry. A call counts as one message at
each of its two ends, and an announcement to an agent as one message at each
end. A pending watch counts as one store call per second. The constants below
give the sizes of the encoded messages and their headers.

Columns: messages per entry (mean and maximum), kB per entry (mean and maximum),
messages per agent and store calls, all per second; time until a change is
known to all live processes (median and maximum over the changes); time in
microseconds of the decisions that one heartbeat causes at both ends, with 900
accounts.
"""

import argparse
import dataclasses
import heapq
import itertools
import random
import time
from datetime import UTC, datetime, timedelta

from chicoryplank.ids import AccountId, ConfigVersion, InstanceId, ZoneId
from chicoryplank.membership import (
    CallFailed,
    DemandAggregator,
    InstanceList,
    Membership,
    MembershipParameters,
    MessageReceived,
    VersionTracker,
    choose_version_sources,
)
from chicoryplank.process_state import Instance

_SEED = 20260101
_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
_PARAMETERS = MembershipParameters()
_CHANGES_PER_S = 0.43
_DURATION_S = 40.0
_WARM_UP_S = 8.0
_FAULT_START_S = 12.0
_SAME_ZONE_DELAY_S = 0.0002
_CROSS_ZONE_DELAY_S = 0.0015
_STORE_DELAY_S = 0.005
_HEARTBEAT_LOSS = 0.01
# An agent detects that its entry has stopped when the connection breaks, and
# connects to another entry after this time.
_RECONNECT_DELAY_S = 1.0
_INSTANCE_LIST_DELAY_S = 10.0
_HEADER_BYTES = 130
_HEARTBEAT_BYTES = 40
_DELTA_BYTES = 16
_FETCH_BYTES = 400
_ANNOUNCEMENT_BYTES = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a deployment."""

    entries: int
    zones: int
    agents: int


FLEETS = (Fleet(8, 3, 19), Fleet(64, 6, 1_371), Fleet(560, 22, 12_000))


class Node:
    """A simulated entry.

    Attributes:
        own: Instance of this entry.
        membership: Its view of the other entries and the dissemination tree.
        version_tracker: Its version and the versions that its peers reported.
        is_alive: Whether the entry is running.
        is_watching: Whether the entry watches the store.
        agents: Indices of the agents connected to the entry.
        messages: Messages sent or received.
        bytes: Bytes sent or received.
    """

    def __init__(self, own: Instance) -> None:
        self.own = own
        self.membership = Membership(own, _PARAMETERS)
        self.version_tracker = VersionTracker()
        self.is_alive = True
        self.is_watching = False
        self.agents: list[int] = []
        self.messages = 0
        self.bytes = 0


class Simulation:
    """One run of a scenario; configuration versions are numbered from 1."""

    def __init__(
        self, fleet: Fleet, loss_rate: float, kill_watchers: bool, seed: int
    ) -> None:
        self.fleet = fleet
        self.loss_rate = loss_rate
        self.kill_watchers = kill_watchers
        self.rng = random.Random(seed)
        self.now = 0.0
        self.event_order = itertools.count()
        self.scheduled_events = []
        self.store_version = 0
        self.store_reads = 0
        self.watch_seconds = 0.0
        self.changed_at: dict[int, float] = {}
        self.known_at: dict[int, float] = {}
        self.missing: dict[int, int] = {}
        entries = tuple(
            Instance(
                InstanceId(f"entry-{index}"),
                "entry",
                ZoneId(f"zone-{index % fleet.zones}"),
                f"{index}",
            )
            for index in range(fleet.entries)
        )
        self.nodes = {entry.instance: Node(entry) for entry in entries}
        for node in self.nodes.values():
            node.membership.observe(InstanceList(entries, _EPOCH))
        self.agent_versions = [0] * fleet.agents
        self.agent_messages = 0
        for agent in range(fleet.agents):
            self.connect_agent(agent, frozenset())

    def connect_agent(
        self, agent: int, excluded: frozenset[InstanceId]
    ) -> None:
        """Connects an agent to an entry of its region.

        A region is two zones; fleets of fewer than ten zones are one region.
        """
        zone = agent % self.fleet.zones
        region = {zone, zone ^ 1}
        candidates = [
            name
            for index, name in enumerate(self.nodes)
            if index % self.fleet.zones in region or self.fleet.zones < 10
        ]
        name = choose_version_sources(
            InstanceId(f"agent-{agent}"), candidates, excluded
        )[0]
        self.nodes[name].agents.append(agent)
        version = self.nodes[name].version_tracker.version
        self.schedule(
            _CROSS_ZONE_DELAY_S, self.receive_announcement, agent, version
        )

    def schedule(self, delay: float, function, *arguments) -> None:
        """Schedules a function call after a delay in simulated seconds."""
        moment = self.now + delay
        heapq.heappush(
            self.scheduled_events,
            (moment, next(self.event_order), function, arguments),
        )

    def run(self) -> None:
        """Runs the simulation for its duration."""
        for node in self.nodes.values():
            interval = _PARAMETERS.heartbeat_interval.total_seconds()
            self.schedule(
                self.rng.random() * interval, self.send_heartbeat, node
            )
        self.schedule(_WARM_UP_S, self.confirm_change)
        self.schedule(_WARM_UP_S, self.reset_counts)
        if self.kill_watchers:
            self.schedule(_FAULT_START_S, self.stop_watchers)
        while (
            self.scheduled_events and self.scheduled_events[0][0] < _DURATION_S
        ):
            self.now, _, function, arguments = heapq.heappop(
                self.scheduled_events
            )
            function(*arguments)

    def reset_counts(self) -> None:
        """Resets the counters once the dissemination tree has formed."""
        for node in self.nodes.values():
            node.messages = node.bytes = 0
        self.store_reads = self.agent_messages = 0
        self.watch_seconds = 0.0

    def confirm_change(self) -> None:
        """Writes a new version to the store and notifies the watchers."""
        if self.now < _DURATION_S - 10.0:
            delay = self.rng.expovariate(_CHANGES_PER_S)
            self.schedule(delay, self.confirm_change)
        self.store_version += 1
        self.changed_at[self.store_version] = self.now
        for node in self.nodes.values():
            if node.is_alive and node.is_watching:
                self.schedule(_STORE_DELAY_S, self.read_store, node)

    def read_store(self, node: Node) -> None:
        """Reads the configuration root and the changed part from the store."""
        self.store_reads += 2
        node.messages += 2
        node.bytes += 2 * _HEADER_BYTES + _FETCH_BYTES
        self.schedule(
            2 * _STORE_DELAY_S, self.activate_version, node, self.store_version
        )

    def activate_version(self, node: Node, version: int) -> None:
        """Activates a version at an entry and announces it to its agents."""
        if not node.is_alive or not node.version_tracker.apply(
            ConfigVersion(version)
        ):
            return
        for agent in node.agents:
            node.messages += 1
            node.bytes += _ANNOUNCEMENT_BYTES
            self.schedule(
                _CROSS_ZONE_DELAY_S, self.receive_announcement, agent, version
            )
        self.record_known_versions()

    def receive_announcement(self, agent: int, version: int) -> None:
        """Delivers a version announcement to an agent."""
        self.agent_messages += 1
        if version > self.agent_versions[agent]:
            self.agent_versions[agent] = version
            self.record_known_versions()

    def record_known_versions(self) -> None:
        """Records the time of versions that all live processes now know."""
        pending_versions = [
            version
            for version in self.changed_at
            if version not in self.known_at
        ]
        if not pending_versions:
            return
        lowest_version = min(
            node.version_tracker.version
            for node in self.nodes.values()
            if node.is_alive
        )
        if lowest_version < pending_versions[0]:
            return
        lowest_version = min(
            lowest_version, min(self.agent_versions, default=lowest_version)
        )
        for version in pending_versions:
            if version <= lowest_version:
                self.known_at[version] = self.now

    def stop_watchers(self) -> None:
        """Stops all entries that watch the store and confirms a change."""
        stopped = [node for node in self.nodes.values() if node.is_watching]
        for node in stopped:
            node.is_alive = node.is_watching = False
        excluded = frozenset(node.own.instance for node in stopped)
        self.confirm_unnoticed_change()
        for node in stopped:
            for agent in node.agents:
                self.schedule(
                    _RECONNECT_DELAY_S, self.connect_agent, agent, excluded
                )
        self.schedule(_INSTANCE_LIST_DELAY_S, self.update_instance_list)

    def update_instance_list(self) -> None:
        """Delivers an instance list without the stopped entries."""
        moment = _EPOCH + timedelta(seconds=self.now)
        live_nodes = [node for node in self.nodes.values() if node.is_alive]
        instance_list = InstanceList(
            tuple(node.own for node in live_nodes), moment
        )
        for node in live_nodes:
            node.membership.observe(instance_list)

    def confirm_unnoticed_change(self) -> None:
        """Writes a new version to the store while no live entry watches it."""
        self.store_version += 1
        self.changed_at[self.store_version] = self.now

    def send_heartbeat(self, node: Node) -> None:
        """Sends a heartbeat to the parent and schedules the next one."""
        if not node.is_alive:
            return
        moment = _EPOCH + timedelta(seconds=self.now)
        interval = _PARAMETERS.heartbeat_interval.total_seconds()
        position = node.membership.choose_tree_position(moment)
        if position.watches_store:
            self.watch_seconds += interval
            if not node.is_watching:
                node.is_watching = True
                self.schedule(_STORE_DELAY_S, self.read_store, node)
        node.is_watching = position.watches_store
        if position.parent is None:
            self.schedule(interval, self.send_heartbeat, node)
            return
        parent = self.nodes[position.parent]
        self.count_call(node, _HEARTBEAT_BYTES, _PARAMETERS.max_deltas)
        if not parent.is_alive or self.rng.random() < self.loss_rate:
            timeout = _PARAMETERS.heartbeat_timeout.total_seconds()
            self.schedule(timeout, self.handle_timeout, node, parent)
            return
        self.count_call(parent, _HEARTBEAT_BYTES, _PARAMETERS.max_deltas)
        delay = self.get_delay(node, parent)
        version = node.version_tracker.version
        self.schedule(delay, self.receive_version, parent, node, version, False)
        self.schedule(2 * delay, self.receive_response, node, parent)
        self.schedule(interval, self.send_heartbeat, node)

    def count_call(self, node: Node, size: int, deltas: int = 0) -> None:
        """Counts a call at one of its ends, with request and response."""
        node.messages += 1
        node.bytes += 2 * (_HEADER_BYTES + size + deltas * _DELTA_BYTES)

    def get_delay(self, first: Node, second: Node) -> float:
        """Returns the one-way latency between two entries."""
        same = first.own.zone == second.own.zone
        return _SAME_ZONE_DELAY_S if same else _CROSS_ZONE_DELAY_S

    def handle_timeout(self, node: Node, parent: Node) -> None:
        """Reports a heartbeat timeout and sends the next heartbeat at once."""
        moment = _EPOCH + timedelta(seconds=self.now)
        node.membership.observe(CallFailed(parent.own.instance, moment))
        self.send_heartbeat(node)

    def receive_response(self, node: Node, parent: Node) -> None:
        """Delivers the heartbeat response of a parent."""
        self.receive_version(node, parent, parent.version_tracker.version, True)

    def receive_version(
        self, node: Node, peer: Node, version: int, is_response: bool
    ) -> None:
        """Processes the version of a peer and fetches it if it is newer."""
        moment = _EPOCH + timedelta(seconds=self.now)
        node.membership.observe(MessageReceived(peer.own.instance, moment))
        target = node.version_tracker.observe(
            peer.own.instance, version, timedelta(seconds=self.now)
        )
        if target is None or not peer.is_alive:
            return
        for end in (node, peer):
            self.count_call(end, _FETCH_BYTES // 2)
        delay = 2 * self.get_delay(node, peer)
        self.schedule(
            delay, self.activate_version, node, peer.version_tracker.version
        )


def measure_decisions(entries: int, zones: int) -> float:
    """Returns the time of the decisions for one heartbeat, in microseconds.

    The time covers both ends, including the exchange of demand sums.
    """
    members = tuple(
        Instance(
            InstanceId(f"entry-{index}"),
            "entry",
            ZoneId(f"zone-{index % zones}"),
            "",
        )
        for index in range(entries)
    )
    membership = Membership(members[-1], _PARAMETERS)
    membership.observe(InstanceList(members, _EPOCH))
    rng = random.Random(_SEED)
    names = {"parent": InstanceId("parent"), "child": InstanceId("child")}
    aggregators = {name: DemandAggregator() for name in names}
    aggregators["child"].set_parent(names["parent"])
    accounts = [AccountId(f"account-{index:03d}") for index in range(900)]
    rounds = 60
    total_s = 0.0
    for index in range(rounds):
        elapsed = timedelta(seconds=index)
        for aggregator in aggregators.values():
            demand = {name: rng.expovariate(0.1) for name in accounts}
            aggregator.set_own_demand(demand)
        started_at = time.perf_counter()
        membership.choose_tree_position(_EPOCH + elapsed)
        update = aggregators["child"].make_update(names["parent"])
        aggregators["parent"].observe_child(names["child"], update, elapsed)
        update = aggregators["parent"].make_update(names["child"])
        aggregators["child"].observe_parent(names["parent"], update, elapsed)
        total_s += time.perf_counter() - started_at
    return total_s * 1e6 / rounds


def print_row(fleet: Fleet, name: str, run: Simulation) -> None:
    """Prints the row of one run."""
    measured_s = _DURATION_S - _WARM_UP_S
    nodes = [node for node in run.nodes.values() if node.is_alive]
    messages = [node.messages / measured_s for node in nodes]
    kb_per_s = [node.bytes / measured_s / 1000 for node in nodes]
    delays = sorted(
        run.known_at.get(version, float("inf")) - moment
        for version, moment in run.changed_at.items()
    )
    agent_messages = run.agent_messages / measured_s / fleet.agents
    store_calls = run.watch_seconds / measured_s + run.store_reads / measured_s
    print(
        f"{fleet.entries:4d} {fleet.agents:6d} {name:<22}"
        f" {sum(messages) / len(messages):6.1f} {max(messages):6.1f}"
        f" {sum(kb_per_s) / len(kb_per_s):6.2f} {max(kb_per_s):6.2f}"
        f" {agent_messages:6.2f} {store_calls:7.1f}"
        f" {delays[len(delays) // 2]:6.2f} {delays[-1]:6.2f}"
        f" {measure_decisions(fleet.entries, fleet.zones):6.0f}",
        flush=True,
    )


def main() -> None:
    """Prints one row for each fleet and scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=_SEED)
    options = parser.parse_args()
    print(f"seed {options.seed}; messages, bytes and store calls per second")
    print(
        "entr agents scenario                mean    max   kB/s    max"
        "  agent   store  p50 s  max s     us"
    )
    scenarios = {
        "no loss": (0.0, False),
        "1 % lost": (_HEARTBEAT_LOSS, False),
        "1 % lost, watchers dead": (_HEARTBEAT_LOSS, True),
    }
    for fleet in FLEETS:
        for name, (loss_rate, kill_watchers) in scenarios.items():
            run = Simulation(fleet, loss_rate, kill_watchers, options.seed)
            run.run()
            print_row(fleet, name, run)


if __name__ == "__main__":
    main()
