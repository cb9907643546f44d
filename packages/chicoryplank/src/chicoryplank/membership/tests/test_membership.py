"""Tests of membership, the dissemination tree, versions and demand."""

import collections
from datetime import UTC, datetime, timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId, ConfigVersion, InstanceId, ZoneId
from chicoryplank.membership import (
    CallFailed,
    DemandAggregator,
    InstanceList,
    IsolationGuard,
    Membership,
    MembershipParameters,
    MessageReceived,
    VersionTracker,
    choose_tree_position,
    choose_version_sources,
)
from chicoryplank.process_state import Instance

_START = datetime(2026, 1, 1, 12, tzinfo=UTC)
_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)


def _after(seconds):
    return _START + timedelta(seconds=seconds)


def _make_entry(index, zones=3, leaving=False):
    return Instance(
        InstanceId(f"entry-{index}"),
        "entry",
        ZoneId(f"zone-{index % zones}"),
        f"10.0.0.{index}:1",
        f"10.0.0.{index}:2",
        leaving=leaving,
    )


def _make_entries(count, zones=3):
    return [_make_entry(index, zones) for index in range(count)]


def _make_membership(entries, own=0, **parameters):
    membership = Membership(entries[own], MembershipParameters(**parameters))
    membership.observe(InstanceList(tuple(entries), _START))
    return membership


class TestTree(testtools.TestCase):
    """Store watchers and parents are derived from the member list."""

    def test_watchers_and_children_are_limited(self):
        """Guards against too many store watches and too many children."""
        entries = _make_entries(560, zones=22)
        positions = [
            choose_tree_position(entry, entries, frozenset())
            for entry in entries
        ]
        watchers = sum(position.watches_store for position in positions)
        children = collections.Counter(
            position.parent for position in positions
        )
        self.assertEqual(44, watchers)
        self.assertEqual(1, children.pop(None))
        self.assertLessEqual(max(children.values()), 8)

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_differing_views_reach_all_entries(self, data):
        """Guards against cycles and entries without a path to a watcher."""
        entries = _make_entries(data.draw(strategies.integers(1, 40)))
        names = [entry.instance for entry in entries]
        subsets = strategies.sets(strategies.sampled_from(entries))
        unreachable_sets = strategies.frozensets(strategies.sampled_from(names))
        positions = {}
        for entry in entries:
            view = data.draw(subsets)
            unreachable = data.draw(unreachable_sets) - {entry.instance}
            positions[entry.instance] = choose_tree_position(
                entry, view, unreachable
            )
            self.assertNotIn(positions[entry.instance].parent, unreachable)
        for start in names:
            name, steps = start, 0
            while not positions[name].watches_store:
                name = positions[name].parent
                steps += 1
                self.assertLessEqual(steps, len(entries))
        for start in names:
            name, seen = start, set()
            while name is not None:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = positions[name].parent

    def test_unreachable_parent_is_replaced(self):
        """Guards against a subtree cut off by one failed entry."""
        entries = _make_entries(60, zones=1)
        for entry in entries:
            parent = choose_tree_position(entry, entries, frozenset()).parent
            if parent is None:
                continue
            other = choose_tree_position(entry, entries, frozenset([parent]))
            self.assertNotEqual(parent, other.parent)
            self.assertTrue(other.watches_store or other.parent)

    def test_leaving_entry_gets_no_children(self):
        """Guards against dissemination interrupted by a planned stop."""
        entries = _make_entries(30)
        root = next(
            entry
            for entry in entries
            if choose_tree_position(entry, entries, frozenset()).parent is None
        )
        view = [
            _make_entry(index, leaving=entry is root)
            for index, entry in enumerate(entries)
        ]
        parents = {
            choose_tree_position(entry, view, frozenset()).parent
            for entry in view
            if entry.instance != root.instance
        }
        self.assertNotIn(root.instance, parents)

    def test_version_sources_are_spread_over_entries(self):
        """Guards against one entry that announces versions to all agents."""
        entries = [InstanceId(f"e{index}") for index in range(8)]
        counts = collections.Counter(
            choose_version_sources(InstanceId(f"agent-{index}"), entries)[0]
            for index in range(800)
        )
        self.assertLess(max(counts.values()), 1.4 * 100)
        unreachable = frozenset(entries[:7])
        sources = choose_version_sources(
            InstanceId("agent-1"), entries, unreachable
        )
        self.assertEqual((entries[7],), sources)


class TestMembers(testtools.TestCase):
    """The lagging instance list is merged with observations."""

    def test_absent_member_is_removed(self):
        """Guards against stopped entries that stay members forever."""
        entries = _make_entries(3)
        membership = _make_membership(entries, max_absence=timedelta(seconds=9))
        membership.observe(InstanceList(tuple(entries[:2]), _after(1)))
        membership.observe(MessageReceived(entries[2].instance, _after(3)))
        self.assertEqual(3, len(membership.get_members(_after(12))))
        self.assertEqual(2, len(membership.get_members(_after(13))))

    def test_members_are_kept_during_a_list_outage(self):
        """Guards against losing all members while the list is unavailable."""
        membership = _make_membership(_make_entries(5))
        self.assertEqual(5, len(membership.get_members(_after(3600))))

    def test_peers_do_not_keep_a_stopped_member(self):
        """Guards against peers that report a stopped entry to each other."""
        entries = _make_entries(4)
        pair = [_make_membership(entries[:2], own) for own in (0, 1)]
        stopped = (entries[3],)
        pair[0].observe(InstanceList(stopped, _after(0), is_complete=False))
        for second in range(1, 80):
            for index in (0, 1):
                reported = pair[index].get_directly_observed(_after(second))
                listing = InstanceList(
                    reported, _after(second), is_complete=False
                )
                pair[1 - index].observe(listing)
        for membership in pair:
            self.assertEqual(2, len(membership.get_members(_after(80))))

    def test_member_count_is_bounded(self):
        """Guards against an instance list that exhausts the memory."""
        membership = _make_membership(_make_entries(50), max_members=10)
        self.assertLessEqual(len(membership.get_members(_START)), 11)

    def test_parent_is_avoided_temporarily_after_two_failures(self):
        """Guards against a new parent after a single lost heartbeat."""
        entries = _make_entries(30, zones=1)
        own = next(
            index
            for index, entry in enumerate(entries)
            if not choose_tree_position(
                entry, entries, frozenset()
            ).watches_store
        )
        membership = _make_membership(entries, own)
        parent = membership.choose_tree_position(_START).parent
        membership.observe(CallFailed(parent, _START))
        self.assertEqual(parent, membership.choose_tree_position(_START).parent)
        membership.observe(CallFailed(parent, _START))
        self.assertNotEqual(
            parent, membership.choose_tree_position(_START).parent
        )
        self.assertEqual(
            parent, membership.choose_tree_position(_after(11)).parent
        )


class TestAddresses(testtools.TestCase):
    """Addresses returned to callers."""

    def test_same_zone_is_first_and_another_zone_last(self):
        """Guards against callers with no usable address after a zone fails."""
        membership = _make_membership(_make_entries(24))
        result = membership.choose_addresses("caller", _START)
        zones = [int(item.split(".")[3][:-2]) % 3 for item in result.addresses]
        self.assertEqual([0, 0, 0], zones[:3])
        self.assertNotEqual(0, zones[3])
        self.assertEqual(timedelta(seconds=5), result.cache_for)

    def test_addresses_are_stable_and_evenly_spread(self):
        """Guards against callers that change entries or overload one entry."""
        entries = _make_entries(24)
        first = _make_membership(entries)
        second = _make_membership(list(reversed(entries)), own=2)
        counts = collections.Counter()
        for index in range(2000):
            caller = f"seat-{index}"
            result = first.choose_addresses(caller, _START)
            self.assertEqual(result, second.choose_addresses(caller, _START))
            counts[result.addresses[0]] += 1
        self.assertEqual(8, len(counts))
        self.assertLess(max(counts.values()), 1.25 * 250)

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_leaving_entry_is_not_returned(self, data):
        """Guards against a late list that clears the leaving flag."""
        entries = _make_entries(data.draw(strategies.integers(2, 12)))
        membership = _make_membership(entries)
        leaving = set()
        kinds = data.draw(strategies.lists(strategies.integers(0, 3)))
        for second, kind in enumerate(kinds):
            entry = data.draw(strategies.sampled_from(entries))
            now = _after(second)
            if kind == 0:
                membership.observe(
                    MessageReceived(entry.instance, now, leaving=True)
                )
                if entry is not entries[0]:
                    leaving.add(entry.caller_address)
            elif kind == 1:
                membership.observe(InstanceList(tuple(entries), now))
            elif kind == 2:
                membership.observe(CallFailed(entry.instance, now))
            else:
                membership.observe(MessageReceived(entry.instance, now))
            result = membership.choose_addresses("caller", now)
            self.assertEqual(set(), leaving & set(result.addresses))

    def test_drained_entry_is_not_returned(self):
        """Guards against callers sent to an entry that is being drained."""
        entries = _make_entries(6)
        membership = _make_membership(entries)
        drained = frozenset(item.instance for item in entries[:5])
        result = membership.choose_addresses("caller", _START, drained)
        self.assertEqual((entries[5].caller_address,), result.addresses)

    def test_silent_unlisted_entry_is_not_returned(self):
        """Guards against addresses of an entry that has stopped."""
        entries = _make_entries(2, zones=1)
        membership = _make_membership(entries)
        membership.observe(InstanceList((entries[0],), _after(1)))
        result = membership.choose_addresses("caller", _after(6))
        self.assertEqual((entries[0].caller_address,), result.addresses)


class TestVersions(testtools.TestCase):
    """Configuration versions and isolated processes."""

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.integers(0, 9))
        )
    )
    def test_version_never_decreases(self, steps):
        """Guards against a late message that restores an old configuration."""
        tracker = VersionTracker()
        for index, (is_apply, number) in enumerate(steps):
            before = tracker.version
            elapsed = timedelta(milliseconds=index * 700)
            if is_apply:
                tracker.apply(ConfigVersion(number))
            else:
                peer = tracker.observe(
                    InstanceId("peer"), ConfigVersion(number), elapsed
                )
                self.assertTrue(peer is None or number > before)
            self.assertGreaterEqual(tracker.version, before)

    def test_version_is_fetched_once_until_the_timeout(self):
        """Guards against a fetch from every peer that reports a version."""
        tracker = VersionTracker(timedelta(seconds=1))

        def observe(peer, number, seconds):
            return tracker.observe(
                InstanceId(peer),
                ConfigVersion(number),
                timedelta(seconds=seconds),
            )

        sources = [
            observe("a", 5, 10),
            observe("b", 5, 10.5),
            observe("c", 6, 10.6),
            observe("d", 6, 11.7),
        ]
        self.assertEqual(["a", None, "c", "d"], sources)
        self.assertFalse(tracker.is_ready)
        tracker.apply(ConfigVersion(5))
        self.assertFalse(tracker.is_ready)
        tracker.apply(ConfigVersion(6))
        observe("a", 7, 20)
        self.assertTrue(tracker.is_ready)

    def test_isolated_process_refuses_requests(self):
        """Guards against a process that serves an outdated configuration."""
        guard = IsolationGuard(timedelta(seconds=60))
        self.assertRaises(ChicoryplankError, guard.admit, timedelta(seconds=1))
        guard.observe(timedelta(seconds=2))
        guard.admit(timedelta(seconds=62))
        self.assertRaises(ChicoryplankError, guard.admit, timedelta(seconds=63))


class TestDemand(testtools.TestCase):
    """Demand aggregated over the dissemination tree."""

    def setUp(self):
        super().setUp()
        self.elapsed = timedelta()
        self.aggregators = {
            InstanceId(name): DemandAggregator() for name in "rab"
        }
        for name in "ab":
            self.aggregators[name].set_parent(InstanceId("r"))

    def _send_heartbeat(self, child, lose_request=False, lose_response=False):
        self.elapsed += timedelta(seconds=1)
        update = self.aggregators[child].make_update(InstanceId("r"))
        if lose_request:
            return update
        self.aggregators["r"].observe_child(child, update, self.elapsed)
        response = self.aggregators["r"].make_update(child)
        if not lose_response:
            parent = InstanceId("r")
            self.aggregators[child].observe_parent(
                parent, response, self.elapsed
            )
        return update

    def test_all_entries_receive_the_total(self):
        """Guards against limits that ignore the demand at other entries."""
        accounts = [AccountId(f"account-{index}") for index in range(10)]
        for aggregator in self.aggregators.values():
            aggregator.set_own_demand(dict.fromkeys(accounts, 1.0))
        for _ in range(2):
            for name in "ab":
                self._send_heartbeat(name)
        for aggregator in self.aggregators.values():
            aggregator.set_own_demand(dict.fromkeys(accounts, 2.0))
        for _ in range(8):
            for name in "ab":
                self.assertLessEqual(len(self._send_heartbeat(name).changes), 4)
        expected = dict.fromkeys(accounts, 6.0)
        for aggregator in self.aggregators.values():
            self.assertEqual(expected, aggregator.sum_fleet())

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_totals_are_correct_after_lost_messages(self, data):
        """Guards against a total that stays wrong after a lost message."""
        self.aggregators = {
            InstanceId(name): DemandAggregator() for name in "ra"
        }
        self.aggregators["a"].set_parent(InstanceId("r"))
        levels = strategies.sampled_from([0.0, 10.0, 20.0])
        for _ in range(data.draw(strategies.integers(1, 12))):
            for aggregator in self.aggregators.values():
                aggregator.set_own_demand({AccountId("x"): data.draw(levels)})
            self._send_heartbeat(
                "a",
                data.draw(strategies.booleans()),
                data.draw(strategies.booleans()),
            )
        for _ in range(3):
            self._send_heartbeat("a")
        totals = [
            aggregator.sum_fleet() for aggregator in self.aggregators.values()
        ]
        expected = sum(
            aggregator._own_demand.get(AccountId("x"), 0.0)
            for aggregator in self.aggregators.values()
        )
        for values in totals:
            self.assertEqual(expected, values.get(AccountId("x"), 0.0))

    def test_restarted_parent_receives_a_full_update(self):
        """Guards against a restarted parent that misses earlier values."""
        self.aggregators["a"].set_own_demand(
            {AccountId("x"): 5.0, AccountId("y"): 1.0}
        )
        self._send_heartbeat("a")
        self._send_heartbeat("a")
        self.aggregators["r"] = DemandAggregator()
        self._send_heartbeat("a")
        self._send_heartbeat("a")
        expected = {AccountId("x"): 5.0, AccountId("y"): 1.0}
        self.assertEqual(expected, self.aggregators["r"].sum_fleet())

    def test_ended_demand_is_removed_from_the_totals(self):
        """Guards against an idle account that keeps its share of a limit."""
        self.aggregators["a"].set_own_demand({AccountId("x"): 5.0})
        self._send_heartbeat("a")
        self._send_heartbeat("a")
        self.aggregators["a"].set_own_demand({})
        for _ in range(3):
            self._send_heartbeat("a")
        self.assertEqual({}, self.aggregators["r"].sum_fleet())
        self.assertEqual({}, self.aggregators["a"].sum_fleet())

    def test_silent_child_is_removed(self):
        """Guards against double counting a child that has a new parent."""
        self.aggregators["a"].set_own_demand({AccountId("x"): 5.0})
        self._send_heartbeat("a")
        self.aggregators["r"].drop_silent_children(
            self.elapsed + timedelta(seconds=3)
        )
        self.assertNotEqual({}, self.aggregators["r"].sum_fleet())
        self.aggregators["r"].drop_silent_children(
            self.elapsed + timedelta(seconds=5)
        )
        self.assertEqual({}, self.aggregators["r"].sum_fleet())

    def test_late_response_of_a_former_parent_is_ignored(self):
        """Guards against counting the fleet total as the demand of a child."""
        self.aggregators["r"].set_own_demand({AccountId("x"): 50.0})
        self.aggregators["a"].set_own_demand({AccountId("x"): 5.0})
        self._send_heartbeat("a", lose_response=True)
        late = self.aggregators["r"].make_update(InstanceId("a"))
        self.aggregators["a"].set_parent(InstanceId("b"))
        self.aggregators["a"].observe_parent(
            InstanceId("r"), late, self.elapsed
        )
        subtree = self.aggregators["a"].sum_subtree()
        self.assertEqual({AccountId("x"): 5.0}, subtree)
