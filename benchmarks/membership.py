"""Measures dissemination: messages, bytes, store calls, time to be known.

A model drives the decisions of chicoryplank.membership in simulated time.
Entries send heartbeats to their parents and fetch newer versions; watchers
read the store; each agent hears of a version from one entry. A message is a
call as one of its ends sees it, or an announcement to an agent. A waiting
watch counts as one store call. Sizes are those of the encoded messages with
headers: the constants below state them.

The last columns are the time until a change is known at all live processes
(median and longest over the changes) and the time that one heartbeat takes
for decisions at both ends, with 900 accounts.
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
_SETTLE_S = 8.0
_FAULT_S = 12.0
_LOCAL_S = 0.0002
_CROSS_S = 0.0015
_STORE_S = 0.005
_HEARTBEAT_LOSS = 0.01
# An agent notices that its source is dead when the connection breaks.
_RECONNECT_S = 1.0
_LIST_LAG_S = 10.0
_HEADER_BYTES = 130
_HEARTBEAT_BYTES = 40
_DELTA_BYTES = 16
_FETCH_BYTES = 400
_ANNOUNCE_BYTES = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a deployment of the whole system."""

    entries: int
    zones: int
    agents: int


FLEETS = (Fleet(8, 3, 19), Fleet(64, 6, 1_371), Fleet(560, 22, 12_000))


class Node:
    """An entry of the model."""

    def __init__(self, own: Instance) -> None:
        self.own = own
        self.membership = Membership(own, _PARAMETERS)
        self.gossip = VersionTracker()
        self.alive = True
        self.watches = False
        self.agents: list[int] = []
        self.messages = 0
        self.bytes = 0


class Simulation:
    """One run; store versions are numbered from 1."""

    def __init__(
        self, fleet: Fleet, loss: float, kill_watchers: bool, seed: int
    ) -> None:
        self.fleet = fleet
        self.loss = loss
        self.kill_watchers = kill_watchers
        self.source = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.events = []
        self.store_version = 0
        self.store_reads = 0
        self.watch_time = 0.0
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
            self.attach(agent, frozenset())

    def attach(self, agent: int, gone: frozenset[InstanceId]) -> None:
        """Connects an agent to its source, in its region of two zones."""
        zone = agent % self.fleet.zones
        region = {zone, zone ^ 1}
        near = [
            name
            for index, name in enumerate(self.nodes)
            if index % self.fleet.zones in region or self.fleet.zones < 10
        ]
        name = choose_version_sources(InstanceId(f"agent-{agent}"), near, gone)[
            0
        ]
        self.nodes[name].agents.append(agent)
        version = self.nodes[name].gossip.version
        self.schedule(_CROSS_S, self.announce, agent, version)

    def schedule(self, delay: float, function, *arguments) -> None:
        """Calls a function after a delay of simulated time."""
        moment = self.now + delay
        heapq.heappush(
            self.events, (moment, next(self.order), function, arguments)
        )

    def run(self) -> None:
        """Runs to the end."""
        for node in self.nodes.values():
            interval = _PARAMETERS.heartbeat_interval.total_seconds()
            self.schedule(self.source.random() * interval, self.beat, node)
        self.schedule(_SETTLE_S, self.change)
        self.schedule(_SETTLE_S, self.reset_counts)
        if self.kill_watchers:
            self.schedule(_FAULT_S, self.kill)
        while self.events and self.events[0][0] < _DURATION_S:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def reset_counts(self) -> None:
        """Begins the count of messages after the tree has formed."""
        for node in self.nodes.values():
            node.messages = node.bytes = 0
        self.store_reads = self.agent_messages = 0
        self.watch_time = 0.0

    def change(self) -> None:
        """Confirms a change in the store."""
        if self.now < _DURATION_S - 10.0:
            delay = self.source.expovariate(_CHANGES_PER_S)
            self.schedule(delay, self.change)
        self.store_version += 1
        self.changed_at[self.store_version] = self.now
        for node in self.nodes.values():
            if node.alive and node.watches:
                self.schedule(_STORE_S, self.read_store, node)

    def read_store(self, node: Node) -> None:
        """Reads the root and the changed part."""
        self.store_reads += 2
        node.messages += 2
        node.bytes += 2 * _HEADER_BYTES + _FETCH_BYTES
        self.schedule(2 * _STORE_S, self.apply, node, self.store_version)

    def apply(self, node: Node, version: int) -> None:
        """Puts a version into force and announces it to agents."""
        if not node.alive or not node.gossip.apply(ConfigVersion(version)):
            return
        for agent in node.agents:
            node.messages += 1
            node.bytes += _ANNOUNCE_BYTES
            self.schedule(_CROSS_S, self.announce, agent, version)
        self.check_known()

    def announce(self, agent: int, version: int) -> None:
        """Delivers a version to an agent."""
        self.agent_messages += 1
        if version > self.agent_versions[agent]:
            self.agent_versions[agent] = version
            self.check_known()

    def check_known(self) -> None:
        """Records changes that have become known everywhere."""
        open_versions = [
            version
            for version in self.changed_at
            if version not in self.known_at
        ]
        if not open_versions:
            return
        lowest = min(
            node.gossip.version for node in self.nodes.values() if node.alive
        )
        if lowest < open_versions[0]:
            return
        lowest = min(lowest, min(self.agent_versions, default=lowest))
        for version in open_versions:
            if version <= lowest:
                self.known_at[version] = self.now

    def kill(self) -> None:
        """Stops all watchers at the moment of a change."""
        dead = [node for node in self.nodes.values() if node.watches]
        for node in dead:
            node.alive = node.watches = False
        gone = frozenset(node.own.instance for node in dead)
        self.change_once()
        for node in dead:
            for agent in node.agents:
                self.schedule(_RECONNECT_S, self.attach, agent, gone)
        self.schedule(_LIST_LAG_S, self.update_list)

    def update_list(self) -> None:
        """Removes dead entries from the instance list."""
        moment = _EPOCH + timedelta(seconds=self.now)
        alive = [node for node in self.nodes.values() if node.alive]
        listing = InstanceList(tuple(node.own for node in alive), moment)
        for node in alive:
            node.membership.observe(listing)

    def change_once(self) -> None:
        """Confirms a change that nobody watches for."""
        self.store_version += 1
        self.changed_at[self.store_version] = self.now

    def beat(self, node: Node) -> None:
        """Sends a heartbeat to the parent and plans the next one."""
        if not node.alive:
            return
        moment = _EPOCH + timedelta(seconds=self.now)
        interval = _PARAMETERS.heartbeat_interval.total_seconds()
        links = node.membership.choose_tree_position(moment)
        if links.watches_store:
            self.watch_time += interval
            if not node.watches:
                node.watches = True
                self.schedule(_STORE_S, self.read_store, node)
        node.watches = links.watches_store
        if links.parent is None:
            self.schedule(interval, self.beat, node)
            return
        parent = self.nodes[links.parent]
        self.count_call(node, _HEARTBEAT_BYTES, _PARAMETERS.max_deltas)
        if not parent.alive or self.source.random() < self.loss:
            timeout = _PARAMETERS.heartbeat_timeout.total_seconds()
            self.schedule(timeout, self.fail, node, parent)
            return
        self.count_call(parent, _HEARTBEAT_BYTES, _PARAMETERS.max_deltas)
        delay = self.get_delay(node, parent)
        version = node.gossip.version
        self.schedule(delay, self.hear, parent, node, version, False)
        self.schedule(2 * delay, self.respond, node, parent)
        self.schedule(interval, self.beat, node)

    def count_call(self, node: Node, size: int, deltas: int = 0) -> None:
        """Counts a call at one end, both directions."""
        node.messages += 1
        node.bytes += 2 * (_HEADER_BYTES + size + deltas * _DELTA_BYTES)

    def get_delay(self, first: Node, second: Node) -> float:
        """Returns the one-way latency."""
        same = first.own.zone == second.own.zone
        return _LOCAL_S if same else _CROSS_S

    def fail(self, node: Node, parent: Node) -> None:
        """Notices a heartbeat without response and tries again at once."""
        moment = _EPOCH + timedelta(seconds=self.now)
        node.membership.observe(CallFailed(parent.own.instance, moment))
        self.beat(node)

    def respond(self, node: Node, parent: Node) -> None:
        """Delivers the response of a parent."""
        self.hear(node, parent, parent.gossip.version, True)

    def hear(
        self, node: Node, peer: Node, version: int, is_response: bool
    ) -> None:
        """Takes the version of a peer and fetches a newer one."""
        moment = _EPOCH + timedelta(seconds=self.now)
        node.membership.observe(MessageReceived(peer.own.instance, moment))
        target = node.gossip.observe(
            peer.own.instance, version, timedelta(seconds=self.now)
        )
        if target is None or not peer.alive:
            return
        for end in (node, peer):
            self.count_call(end, _FETCH_BYTES // 2)
        delay = 2 * self.get_delay(node, peer)
        self.schedule(delay, self.apply, node, peer.gossip.version)


def measure_decisions(entries: int, zones: int) -> float:
    """Returns the microseconds of decisions for one heartbeat, both ends."""
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
    source = random.Random(_SEED)
    names = {"parent": InstanceId("parent"), "child": InstanceId("child")}
    sums = {name: DemandAggregator() for name in names}
    sums["child"].set_parent(names["parent"])
    accounts = [AccountId(f"account-{index:03d}") for index in range(900)]
    rounds = 60
    spent = 0.0
    for index in range(rounds):
        elapsed = timedelta(seconds=index)
        for part in sums.values():
            demand = {name: source.expovariate(0.1) for name in accounts}
            part.set_own_demand(demand)
        began = time.perf_counter()
        membership.choose_tree_position(_EPOCH + elapsed)
        update = sums["child"].make_update(names["parent"])
        sums["parent"].observe_child(names["child"], update, elapsed)
        update = sums["parent"].make_update(names["child"])
        sums["child"].observe_parent(names["parent"], update, elapsed)
        spent += time.perf_counter() - began
    return spent * 1e6 / rounds


def print_row(fleet: Fleet, name: str, run: Simulation) -> None:
    """Prints the figures of one run."""
    counted_s = _DURATION_S - _SETTLE_S
    nodes = [node for node in run.nodes.values() if node.alive]
    messages = [node.messages / counted_s for node in nodes]
    sizes = [node.bytes / counted_s / 1000 for node in nodes]
    delays = sorted(
        run.known_at.get(version, float("inf")) - moment
        for version, moment in run.changed_at.items()
    )
    agent = run.agent_messages / counted_s / fleet.agents
    calls = run.watch_time / counted_s + run.store_reads / counted_s
    print(
        f"{fleet.entries:4d} {fleet.agents:6d} {name:<22}"
        f" {sum(messages) / len(messages):6.1f} {max(messages):6.1f}"
        f" {sum(sizes) / len(sizes):6.2f} {max(sizes):6.2f}"
        f" {agent:6.2f} {calls:7.1f}"
        f" {delays[len(delays) // 2]:6.2f} {delays[-1]:6.2f}"
        f" {measure_decisions(fleet.entries, fleet.zones):6.0f}",
        flush=True,
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=_SEED)
    options = parser.parse_args()
    print(f"seed {options.seed}; messages, bytes and store calls a second")
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
        for name, (loss, kill_watchers) in scenarios.items():
            run = Simulation(fleet, loss, kill_watchers, options.seed)
            run.run()
            print_row(fleet, name, run)


if __name__ == "__main__":
    main()
