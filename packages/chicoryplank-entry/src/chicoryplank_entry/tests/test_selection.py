"""Tests of the choice of connected agents and of version announcers."""

import collections
import random
from datetime import timedelta
from types import SimpleNamespace

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import ServiceConfiguration, Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ServiceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank_entry.selection import (
    RelaySelector,
    choose_agents,
    choose_announcers,
    get_service_deployments,
)

_SNAPSHOT = Snapshot(
    ConfigVersion(1),
    {},
    {},
    {ServiceId("quotes"): ServiceConfiguration("quotes")},
)


def _make_instances(entries, agents, zones, deployment="llm"):
    instances = []
    for number in range(entries):
        zone = ZoneId(f"zone-{number % zones}")
        instances.append(
            Instance(InstanceId(f"entry-{number}"), "entry", zone, "h:1")
        )
    for number in range(agents):
        zone = ZoneId(f"zone-{number % zones}")
        instances.append(
            Instance(
                InstanceId(f"agent-{number}"),
                "backend",
                zone,
                "h:2",
                deployment=deployment,
            )
        )
    return instances


class TestChooseAgents(testtools.TestCase):
    """All replicas are connected, by a bounded number of connections."""

    def test_small_deployment_is_fully_connected(self):
        """Guards against a replica that some entries cannot reach."""
        instances = _make_instances(8, 16, 3)
        for entry in instances[:8]:
            chosen = choose_agents(
                entry, instances, get_service_deployments(_SNAPSHOT)
            )
            self.assertEqual(16, len(chosen))

    def test_large_zone_is_divided_among_entries(self):
        """Guards against connections that grow as entries times replicas."""
        instances = _make_instances(50, 1090, 2)
        served = collections.Counter()
        for entry in instances[:50]:
            chosen = choose_agents(
                entry, instances, get_service_deployments(_SNAPSHOT)
            )
            self.assertLess(len(chosen), 250)
            served.update(chosen)
        self.assertEqual(1090, len(served))
        self.assertGreaterEqual(min(served.values()), 6)

    def test_services_are_fully_connected(self):
        """Guards against one idempotency key sent to two agents."""
        instances = _make_instances(4, 200, 1, "quotes")
        chosen = choose_agents(
            instances[0], instances, get_service_deployments(_SNAPSHOT)
        )
        self.assertEqual(200, len(chosen))


class TestChooseAnnouncers(testtools.TestCase):
    """Versions are announced by entries that are connected to the agent."""

    def test_announcers_are_connected(self):
        """Guards against a version that no connected entry announces."""
        instances = _make_instances(50, 400, 2)
        connected = {
            entry.instance: choose_agents(entry, instances, frozenset())
            for entry in instances[:50]
        }
        for agent in instances[50:]:
            announcers = choose_announcers(agent, instances[:50])
            self.assertEqual(2, len(announcers))
            for entry in announcers:
                self.assertIn(agent.instance, connected[entry])


class _SelectorCase(testtools.TestCase):
    """Base class with a selector and two relays."""

    zones = 1

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.evacuated = frozenset()
        self.selector = RelaySelector(
            ZoneId("zone-0"),
            self.clock,
            random.Random(1),
            lambda: 1,
            lambda: self.evacuated,
        )
        self.relays = [
            SimpleNamespace(instance=instance, is_usable=True)
            for instance in _make_instances(0, 2, self.zones)
        ]
        self.pool = SimpleNamespace(get_relays=lambda deployment: self.relays)

    def _choose(self, excluded=frozenset()):
        return {
            self.selector.choose(
                self.pool, "llm", str(number).encode(), excluded
            ).instance.instance
            for number in range(40)
        }


class TestHeldReplicas(_SelectorCase):
    """A replica whose limit is used up is the last choice."""

    def test_other_replica_is_chosen(self):
        """Guards against requests that each spend a retry on the limit."""
        self.assertEqual({"agent-0", "agent-1"}, self._choose())
        self.selector.hold(self.relays[0], timedelta(seconds=1))
        self.assertEqual({"agent-1"}, self._choose())
        self.clock.advance(timedelta(seconds=2))
        self.assertEqual({"agent-0", "agent-1"}, self._choose())

    def test_held_replica_is_the_last_choice(self):
        """Guards against refusals while only held replicas are left."""
        self.selector.hold(self.relays[0], timedelta(seconds=1))
        chosen = self._choose(frozenset({InstanceId("agent-1")}))
        self.assertEqual({"agent-0"}, chosen)

    def test_hold_ends(self):
        """Guards against refusals after the limit allows a request."""
        self.selector.hold(self.relays[0], timedelta(seconds=1))
        self.clock.advance(timedelta(milliseconds=400))
        self.assertEqual(
            timedelta(milliseconds=600), self.selector.get_hold(self.relays[0])
        )
        self.clock.advance(timedelta(seconds=1))
        self.assertEqual(timedelta(), self.selector.get_hold(self.relays[0]))


class TestEvacuatedZone(_SelectorCase):
    """Replicas of an evacuated zone get no attempt."""

    zones = 2

    def test_other_zone_is_chosen(self):
        """Guards against attempts in the zone, also as the last choice."""
        self.evacuated = frozenset({ZoneId("zone-0")})
        self.assertEqual({"agent-1"}, self._choose())
        tried = frozenset({InstanceId("agent-1")})
        self.assertEqual({"agent-1"}, self._choose(tried))
        self.selector.hold(self.relays[1], timedelta(seconds=1))
        self.assertEqual({"agent-1"}, self._choose())
        self.evacuated = frozenset()
        self.assertEqual({"agent-0"}, self._choose())

    def test_no_replica_is_left(self):
        """Guards against requests that are sent to the zone all the same."""
        self.evacuated = frozenset({ZoneId("zone-0"), ZoneId("zone-1")})
        self.assertIsNone(
            self.selector.choose(self.pool, "llm", b"", frozenset())
        )
        self.assertEqual([], self.selector.list_usable(self.pool, "llm"))
