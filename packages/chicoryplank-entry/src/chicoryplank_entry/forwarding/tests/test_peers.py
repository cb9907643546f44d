"""Tests of the exchange between entries, with an in-memory network.

Load pattern: many entries send to the same replicas and need the counts of each
other. The clock is manual.
"""

import json
import random
from datetime import timedelta

import testtools

from chicoryplank.admission import RetryBudgetParameters
from chicoryplank.clock import ManualClock
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank_entry.forwarding.members import Member, decode_member
from chicoryplank_entry.forwarding.peers import Peers
from chicoryplank_entry.forwarding.state import EntryState

_REPLICA = InstanceId("replica")
_TICK = timedelta(milliseconds=100)


class _Transport:
    """Transport that delivers datagrams between entries in memory."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def sendto(self, data, address):
        self._network.deliver(data, self._address, f"{address[0]}:{address[1]}")


class _Network:
    """Entries in several zones with a common clock."""

    def __init__(self, zones, entries_per_zone):
        self.clock = ManualClock()
        self.sent = 0
        self.newer_revisions = []
        self.dead = set()
        self.peers = {}
        self.states = {}
        self.members = {}
        for zone in zones:
            for index in range(entries_per_zone):
                number = len(self.members) + 1
                name = InstanceId(f"{zone}-{index}")
                address = f"10.0.0.1:{number}"
                self.members[name] = Member(
                    name, zone, f"10.0.1.1:{number}", address
                )
        self._by_address = {
            member.peer_address: name for name, member in self.members.items()
        }
        self.restart(self.members)

    def restart(self, names):
        """Starts entries that read the registrations of all entries."""
        for name in list(names):
            member = self.members[name]
            state = EntryState(
                self.clock,
                ZoneId(member.zone),
                random.Random(len(self.members)),
                RetryBudgetParameters(),
                2.0,
            )
            peers = Peers(
                member, state, random.Random(1), self.newer_revisions.append
            )
            peers.connection_made(_Transport(self, member.peer_address))
            peers.set_members(self.members)
            self.peers[name] = peers
            self.states[name] = state
            self.dead.discard(name)

    def deliver(self, data, sender, receiver):
        name = self._by_address[receiver]
        if name in self.dead or self._by_address[sender] in self.dead:
            return
        self.sent += 1
        self.peers[name].datagram_received(data, ("10.0.0.1", 1))

    def run(self, ticks):
        for _ in range(ticks):
            self.clock.advance(_TICK)
            for name, peers in self.peers.items():
                if name not in self.dead:
                    peers.send_updates()

    def count(self, name):
        return self.states[name].occupancy.count(_REPLICA)


class TestDirectExchange(testtools.TestCase):
    """Few entries send their counts to each other directly."""

    def test_all_entries_get_all_counts(self):
        """Guards against entries that all see the same slots as free."""
        network = _Network(["a", "b"], 3)
        for state in network.states.values():
            state.occupancy.begin(_REPLICA)
        network.run(2)
        self.assertEqual({6}, {network.count(name) for name in network.peers})

    def test_dead_entry_is_not_listed_for_callers(self):
        """Guards against directing callers to a dead entry."""
        network = _Network(["a", "b"], 2)
        network.run(30)
        network.dead.add("b-1")
        network.run(14)
        addresses = network.peers["a-0"].list_addresses("a", 64)
        self.assertEqual(3, len(addresses))

    def test_own_zone_comes_first(self):
        """Guards against directing callers to another zone without need."""
        network = _Network(["a", "b"], 2)
        network.run(2)
        addresses = network.peers["b-0"].list_addresses("a", 2)
        self.assertEqual(["10.0.1.1:1", "10.0.1.1:2"], addresses)

    def test_draining_entry_is_omitted_at_once(self):
        """Guards against directing callers to a draining entry."""
        network = _Network(["a", "b"], 2)
        network.run(2)
        network.states["a-1"].is_draining = True
        network.peers["a-1"].send_own_counts()
        for name in ("a-0", "a-1", "b-0"):
            addresses = network.peers[name].list_addresses("a", 64)
            self.assertNotIn("10.0.1.1:2", addresses)

    def test_malformed_datagrams_are_ignored(self):
        """Guards against a malformed datagram that crashes an entry."""
        peers = _Network(["a", "b"], 2).peers["a-0"]
        message = {
            "kind": "own",
            "member": "a-1",
            "leaving": False,
            "revision": 5,
            "counts": {},
            "absent": [],
        }
        for change in (
            {"counts": []},
            {"counts": {"r": "x"}},
            {"revision": None},
            {"absent": 5},
            {"revision": float("inf")},
            {"entries": 8},
            {"entries": [0, 1.0]},
            {"entries": [float("inf"), 1.0]},
            {"entries": [8, "x"]},
            {"entries": [8, -1.0]},
            {"limits": 5},
            {"limits": {"r": 1.0}},
            {"limits": {"r": ["x", 1.0]}},
            {"limits": {"r": [-1.0, 1.0]}},
            {"limits": {"r": [1.0, -5.0]}},
            {"kind": "permit-request"},
            {"kind": "permit-reply", "number": "x"},
            {"kind": "permit-reply", "number": 1, "wait_s": None},
            {"kind": "permit-reply", "number": 1, "wait_s": float("inf")},
            {"kind": "permit-reply", "number": 1, "wait_s": -1},
            {"kind": []},
        ):
            data = json.dumps({**message, **change}).encode()
            peers.datagram_received(data, ("10.0.0.9", 1))
        for data in (b"", b"\xff", b"[]", b"{}", b"null", b"[" * 50_000):
            peers.datagram_received(data, ("10.0.0.9", 1))

    def test_newer_revision_is_reported(self):
        """Guards against an entry that does not notice a stalled watch."""
        network = _Network(["a", "b"], 2)
        network.peers["a-1"].revision = 7
        network.run(1)
        self.assertIn(7, network.newer_revisions)


class TestHubs(testtools.TestCase):
    """Many entries exchange their counts through a hub of their zone."""

    def test_all_entries_get_all_counts(self):
        """Guards against entries that know only the counts of their zone."""
        network = _Network(["a", "b", "c"], 6)
        for state in network.states.values():
            state.occupancy.begin(_REPLICA)
        network.run(5)
        self.assertEqual({18}, {network.count(name) for name in network.peers})
        for state in network.states.values():
            state.occupancy.end(_REPLICA)
        network.run(5)
        self.assertEqual({0}, {network.count(name) for name in network.peers})

    def test_message_count_is_linear(self):
        """Guards against a message count quadratic in the number of entries."""
        sent = []
        for size in (6, 12):
            network = _Network(["a", "b", "c"], size)
            network.run(5)
            network.sent = 0
            network.run(10)
            sent.append(network.sent)
        self.assertLess(sent[1], 2.5 * sent[0])

    def test_lost_hub_is_replaced(self):
        """Guards against losing the counts of a zone with its hub."""
        network = _Network(["a", "b", "c"], 6)
        network.run(30)
        network.dead.add("a-0")
        network.run(30)
        for state in network.states.values():
            state.occupancy.begin(_REPLICA)
        network.run(5)
        alive = [name for name in network.peers if name not in network.dead]
        self.assertEqual({17}, {network.count(name) for name in alive})
        for name in alive:
            addresses = network.peers[name].list_addresses("a", 64)
            self.assertEqual(17, len(addresses), name)

    def test_addresses_stay_listed_while_a_hub_is_replaced(self):
        """Guards against omitting a whole zone because its hub is dead."""
        network = _Network(["a", "b", "c"], 6)
        network.run(30)
        network.dead.add("a-0")
        for _ in range(40):
            network.run(1)
            addresses = network.peers["c-3"].list_addresses("a", 64)
            self.assertGreaterEqual(len(addresses), 17)

    def test_dead_entry_is_omitted(self):
        """Guards against directing callers to an entry long after its death."""
        network = _Network(["a", "b", "c"], 6)
        network.run(30)
        network.dead.add("b-4")
        network.run(50)
        for name in ("a-3", "b-3", "c-0"):
            addresses = network.peers[name].list_addresses("b", 64)
            self.assertEqual(17, len(addresses), name)

    def test_one_entry_of_a_zone_reads_the_store(self):
        """Guards against a load on the store that grows with the entries."""
        network = _Network(["a", "b", "c"], 6)
        network.run(5)
        store_readers = [
            name
            for name, peers in network.peers.items()
            if peers.get_source_address() is None
        ]
        self.assertEqual(["a-0", "b-0", "c-0"], store_readers)


class TestMember(testtools.TestCase):
    """Registrations are validated when they are decoded."""

    def test_malformed_registrations_are_rejected(self):
        """Guards against a malformed registration that crashes an entry."""
        member = Member(InstanceId("a"), "z", "10.0.0.1:1", "10.0.0.1:2")
        self.assertEqual(member, decode_member(member.encode()))
        for value in (
            b"",
            b"[]",
            b"{}",
            member.encode().replace(b"10.0.0.1:1", b"10.0.0.1"),
            member.encode().replace(b'"z"', b"5"),
            member.encode().replace(b"10.0.0.1:2", b"10.0.0.1:65536"),
            member.encode().replace(b"10.0.0.1:2", b"10.0.0.1:\xc2\xb2"),
            # A name whose look-up fails would close the socket for datagrams.
            member.encode().replace(b"10.0.0.1:2", b"a" * 70 + b":2"),
            b"[" * 100_000,
        ):
            self.assertRaises(ValueError, decode_member, value)


class TestSlowReplicas(testtools.TestCase):
    """All entries avoid the replicas that the controller reports as slow."""

    def _report(self, entries_per_zone):
        network = _Network(["a", "b", "c"], entries_per_zone)
        network.run(3)
        controller = network.states[InstanceId("b-1")]
        controller.slow_replicas.observe([_REPLICA], controller.now_s())
        network.run(4)
        return network

    def _count_avoiding(self, network):
        others = [_REPLICA, InstanceId("other")]
        return sum(
            bool(state.slow_replicas.list_avoided(others, state.now_s()))
            for state in network.states.values()
        )

    def test_report_reaches_all_entries(self):
        """Guards against entries that still send to a slow group."""
        self.assertEqual(6, self._count_avoiding(self._report(2)))

    def test_report_reaches_all_entries_through_hubs(self):
        """Guards against hubs that do not forward the report."""
        self.assertEqual(15, self._count_avoiding(self._report(5)))

    def test_forwarded_report_expires(self):
        """Guards against entries that renew a report among themselves."""
        network = self._report(2)
        network.run(15)
        self.assertEqual(0, self._count_avoiding(network))

    def test_malformed_report_is_rejected(self):
        """Guards against a datagram that stops the exchange."""
        network = self._report(2)
        document = {
            "kind": "own",
            "member": "a-0",
            "leaving": False,
            "revision": 1,
            "counts": {},
            "absent": [],
            "slow": 7,
        }
        network.peers[InstanceId("a-1")].datagram_received(
            json.dumps(document).encode(), ("10.0.0.1", 1)
        )
        network.run(1)
        self.assertEqual(6, self._count_avoiding(network))


class TestAddressesOfEndedEntries(testtools.TestCase):
    """The address of an entry that ended is omitted within 7 s.

    Load pattern: entries are killed, also a whole zone or all of them, while
    the store keeps their registrations for up to 15 s or does not respond.
    """

    _LIMIT_TICKS = 70

    def _kill(self, network, names):
        """Kills entries; returns the listed addresses after the limit."""
        network.dead.update(names)
        network.run(self._LIMIT_TICKS)
        return {
            name: set(network.peers[name].list_addresses("a", 64))
            for name in network.peers
            if name not in network.dead
        }

    def _check(self, entries_per_zone, choose):
        network = _Network(["a", "b", "c"], entries_per_zone)
        network.run(30)
        killed = {name for name in network.peers if choose(name)}
        stale = {network.members[name].caller_address for name in killed}
        for name, listed in self._kill(network, killed).items():
            self.assertEqual(set(), listed & stale, name)
            self.assertEqual(
                len(network.peers) - len(killed), len(listed), name
            )

    def test_one_entry(self):
        """Guards against a stale address after the end of one entry."""
        for size in (2, 6):
            self._check(size, lambda name: name == "b-1")

    def test_hubs(self):
        """Guards against a stale address of a hub, or of all hubs."""
        self._check(6, lambda name: name == "b-0")
        self._check(6, lambda name: name.endswith("-0"))

    def test_both_hub_candidates(self):
        """Guards against a zone whose hub and next hub end together."""
        self._check(6, lambda name: name in ("b-0", "b-1"))

    def test_whole_zone(self):
        """Guards against a zone that nobody reports as absent any more."""
        for size in (2, 6):
            self._check(size, lambda name: name.startswith("b-"))

    def test_all_but_one_entry(self):
        """Guards against addresses that one entry keeps alone."""
        for size in (2, 6):
            self._check(size, lambda name: name != "c-1")

    def test_killed_and_restarted_entries(self):
        """Guards against addresses of former processes after a restart.

        All entries are killed; some of them are started again, under the same
        names and while the store lists all former registrations.
        """
        for size in (2, 6):
            network = _Network(["a", "b", "c"], size)
            network.run(30)
            stale = {
                member.caller_address
                for name, member in network.members.items()
                if name.startswith("b-")
            }
            network.dead.update(network.peers)
            network.run(5)
            network.restart(
                name for name in network.peers if not name.startswith("b-")
            )
            network.run(self._LIMIT_TICKS)
            for name in network.peers.keys() - network.dead:
                listed = network.peers[name].list_addresses("a", 64)
                self.assertEqual(set(), stale & set(listed), name)
                self.assertEqual(2 * size, len(listed), name)

    def test_store_reloads_do_not_renew_an_address(self):
        """Guards against an address that each reload of the store renews."""
        for size in (2, 6):
            network = _Network(["a", "b", "c"], size)
            network.run(30)
            network.dead.add("b-1")
            for _ in range(7):
                network.run(10)
                for name in network.peers.keys() - network.dead:
                    network.peers[name].set_members(network.members)
            stale = network.members["b-1"].caller_address
            for name in network.peers.keys() - network.dead:
                listed = network.peers[name].list_addresses("a", 64)
                self.assertNotIn(stale, listed, name)
