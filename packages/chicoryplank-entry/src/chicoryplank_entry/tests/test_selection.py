"""Tests of the choice of agents that an entry connects to."""

import collections

import testtools

from chicoryplank.configuration import ServiceConfiguration, Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ServiceId, ZoneId
from chicoryplank.process_state import Instance
from chicoryplank_entry.selection import (
    choose_agents,
    choose_announcers,
    find_service_deployments,
)

_SNAPSHOT = Snapshot(
    ConfigVersion(1),
    {},
    {},
    {ServiceId("quotes"): ServiceConfiguration("quotes")},
)


def _make_fleet(entries, agents, zones, deployment="llm"):
    fleet = []
    for number in range(entries):
        zone = ZoneId(f"zone-{number % zones}")
        fleet.append(
            Instance(InstanceId(f"entry-{number}"), "entry", zone, "h:1")
        )
    for number in range(agents):
        zone = ZoneId(f"zone-{number % zones}")
        fleet.append(
            Instance(
                InstanceId(f"agent-{number}"),
                "backend",
                zone,
                "h:2",
                deployment=deployment,
            )
        )
    return fleet


class TestChooseAgents(testtools.TestCase):
    """Every replica is served and connections stay bounded."""

    def test_small_site_is_connected_whole(self):
        """Guards against a replica that some entries cannot use."""
        fleet = _make_fleet(8, 16, 3)
        for entry in fleet[:8]:
            chosen = choose_agents(
                entry, fleet, find_service_deployments(_SNAPSHOT)
            )
            self.assertEqual(16, len(chosen))

    def test_large_zone_is_shared(self):
        """Guards against connections that grow with entries by replicas."""
        fleet = _make_fleet(50, 1090, 2)
        served = collections.Counter()
        for entry in fleet[:50]:
            chosen = choose_agents(
                entry, fleet, find_service_deployments(_SNAPSHOT)
            )
            self.assertLess(len(chosen), 250)
            served.update(chosen)
        self.assertEqual(1090, len(served))
        self.assertGreaterEqual(min(served.values()), 6)

    def test_services_are_connected_whole(self):
        """Guards against one key that goes to two agents."""
        fleet = _make_fleet(4, 200, 1, "quotes")
        chosen = choose_agents(
            fleet[0], fleet, find_service_deployments(_SNAPSHOT)
        )
        self.assertEqual(200, len(chosen))


class TestChooseAnnouncers(testtools.TestCase):
    """Agents hear of versions from entries that they are connected to."""

    def test_announcers_are_connected(self):
        """Guards against a version that no connected entry announces."""
        fleet = _make_fleet(50, 400, 2)
        connected = {
            entry.instance: choose_agents(entry, fleet, frozenset())
            for entry in fleet[:50]
        }
        for agent in fleet[50:]:
            announcers = choose_announcers(agent, fleet[:50])
            self.assertEqual(2, len(announcers))
            for entry in announcers:
                self.assertIn(agent.instance, connected[entry])
