"""Tests of the choice of agents that an entry connects to."""

import collections

import testtools

from chicoryplank.blackboard import Instance
from chicoryplank.configuration import ServiceConfiguration, Snapshot
from chicoryplank.ids import ConfigVersion, InstanceId, ServiceId, ZoneId
from chicoryplank_entry.selection import choose_agents

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
            chosen = choose_agents(entry, fleet, _SNAPSHOT)
            self.assertEqual(16, len(chosen))

    def test_large_zone_is_shared(self):
        """Guards against connections that grow with entries by replicas."""
        fleet = _make_fleet(50, 1090, 2)
        served = collections.Counter()
        for entry in fleet[:50]:
            chosen = choose_agents(entry, fleet, _SNAPSHOT)
            self.assertLess(len(chosen), 250)
            served.update(chosen)
        self.assertEqual(1090, len(served))
        self.assertGreaterEqual(min(served.values()), 6)

    def test_services_are_connected_whole(self):
        """Guards against one key that goes to two agents."""
        fleet = _make_fleet(4, 200, 1, "quotes")
        chosen = choose_agents(fleet[0], fleet, _SNAPSHOT)
        self.assertEqual(200, len(chosen))
