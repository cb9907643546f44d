"""Tests of the choice of connected agents and of version announcers."""

import collections

import testtools

from chicoryplank.configuration import ServiceConfiguration, Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ServiceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank_entry.selection import (
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
