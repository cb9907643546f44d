"""Tests of members, the dissemination tree, versions and addresses."""

import collections
from datetime import UTC, datetime, timedelta

import hypothesis
import testtools
from hypothesis import strategies

from chicoryplank.errors import ChicoryplankError
from chicoryplank.ids import AccountId, ConfigVersion, InstanceId, ZoneId
from chicoryplank.membership import (
    DemandSums,
    Failed,
    Heard,
    InstanceList,
    IsolationRule,
    Membership,
    MembershipParameters,
    VersionGossip,
    choose_links,
    choose_sources,
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
    """Watchers and parents derived from the member list."""

    def test_watchers_and_fan_out(self):
        """Guards against too many store calls and overloaded parents."""
        entries = _make_entries(560, zones=22)
        links = [choose_links(entry, entries, frozenset()) for entry in entries]
        watchers = sum(link.watches_store for link in links)
        children = collections.Counter(link.parent for link in links)
        self.assertEqual(44, watchers)
        self.assertEqual(1, children.pop(None))
        self.assertLessEqual(max(children.values()), 8)

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_views_that_differ_cover_all(self, data):
        """Guards against entries that no chain of parents feeds."""
        entries = _make_entries(data.draw(strategies.integers(1, 40)))
        names = [entry.instance for entry in entries]
        subsets = strategies.sets(strategies.sampled_from(entries))
        away = strategies.frozensets(strategies.sampled_from(names))
        links = {}
        for entry in entries:
            view = data.draw(subsets)
            unreachable = data.draw(away) - {entry.instance}
            links[entry.instance] = choose_links(entry, view, unreachable)
            self.assertNotIn(links[entry.instance].parent, unreachable)
        for start in names:
            name, steps = start, 0
            while not links[name].watches_store:
                name = links[name].parent
                steps += 1
                self.assertLessEqual(steps, len(entries))
        for start in names:
            name, seen = start, set()
            while name is not None:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = links[name].parent

    def test_another_parent_when_one_is_unreachable(self):
        """Guards against a subtree cut off by one dead entry."""
        entries = _make_entries(60, zones=1)
        for entry in entries:
            parent = choose_links(entry, entries, frozenset()).parent
            if parent is None:
                continue
            other = choose_links(entry, entries, frozenset([parent]))
            self.assertNotEqual(parent, other.parent)
            self.assertTrue(other.watches_store or other.parent)

    def test_leaving_entries_get_no_children(self):
        """Guards against a planned stop that interrupts dissemination."""
        entries = _make_entries(30)
        root = next(
            entry
            for entry in entries
            if choose_links(entry, entries, frozenset()).parent is None
        )
        view = [
            _make_entry(index, leaving=entry is root)
            for index, entry in enumerate(entries)
        ]
        parents = {
            choose_links(entry, view, frozenset()).parent
            for entry in view
            if entry.instance != root.instance
        }
        self.assertNotIn(root.instance, parents)

    def test_sources_of_agents_spread(self):
        """Guards against one entry that announces to all agents."""
        entries = [InstanceId(f"e{index}") for index in range(8)]
        counts = collections.Counter(
            choose_sources(InstanceId(f"agent-{index}"), entries)[0]
            for index in range(800)
        )
        self.assertLess(max(counts.values()), 1.4 * 100)
        gone = frozenset(entries[:7])
        sources = choose_sources(InstanceId("agent-1"), entries, gone)
        self.assertEqual((entries[7],), sources)


class TestMembers(testtools.TestCase):
    """The lagging list merged with own observations."""

    def test_absent_members_age_out(self):
        """Guards against members that are kept for ever."""
        entries = _make_entries(3)
        membership = _make_membership(entries, max_absence=timedelta(seconds=9))
        membership.observe(InstanceList(tuple(entries[:2]), _after(1)))
        membership.observe(Heard(entries[2].instance, _after(3)))
        self.assertEqual(3, len(membership.get_members(_after(12))))
        self.assertEqual(2, len(membership.get_members(_after(13))))

    def test_list_outage_keeps_members(self):
        """Guards against a fleet that dissolves while the list is down."""
        membership = _make_membership(_make_entries(5))
        self.assertEqual(5, len(membership.get_members(_after(3600))))

    def test_peers_do_not_keep_the_dead_alive(self):
        """Guards against two processes that name a dead member in turns."""
        entries = _make_entries(4)
        pair = [_make_membership(entries[:2], own) for own in (0, 1)]
        ghost = (entries[3],)
        pair[0].observe(InstanceList(ghost, _after(0), is_complete=False))
        for second in range(1, 80):
            for index in (0, 1):
                named = pair[index].get_first_hand(_after(second))
                listing = InstanceList(named, _after(second), is_complete=False)
                pair[1 - index].observe(listing)
        for membership in pair:
            self.assertEqual(2, len(membership.get_members(_after(80))))

    def test_members_are_bounded(self):
        """Guards against a list that fills the memory."""
        membership = _make_membership(_make_entries(50), max_members=10)
        self.assertLessEqual(len(membership.get_members(_START)), 11)

    def test_unreachable_for_a_while(self):
        """Guards against one lost heartbeat that moves a subtree."""
        entries = _make_entries(30, zones=1)
        own = next(
            index
            for index, entry in enumerate(entries)
            if not choose_links(entry, entries, frozenset()).watches_store
        )
        membership = _make_membership(entries, own)
        parent = membership.choose_links(_START).parent
        membership.observe(Failed(parent, _START))
        self.assertEqual(parent, membership.choose_links(_START).parent)
        membership.observe(Failed(parent, _START))
        self.assertNotEqual(parent, membership.choose_links(_START).parent)
        self.assertEqual(parent, membership.choose_links(_after(11)).parent)


class TestAddresses(testtools.TestCase):
    """What callers are told."""

    def test_own_zone_first_and_one_elsewhere(self):
        """Guards against callers that a lost zone leaves without address."""
        membership = _make_membership(_make_entries(24))
        answer = membership.choose_addresses("caller", _START)
        zones = [int(item.split(".")[3][:-2]) % 3 for item in answer.addresses]
        self.assertEqual([0, 0, 0], zones[:3])
        self.assertNotEqual(0, zones[3])
        self.assertEqual(timedelta(seconds=5), answer.cache_for)

    def test_stable_and_even(self):
        """Guards against callers that move or meet at one entry."""
        entries = _make_entries(24)
        first = _make_membership(entries)
        second = _make_membership(list(reversed(entries)), own=2)
        counts = collections.Counter()
        for index in range(2000):
            caller = f"seat-{index}"
            answer = first.choose_addresses(caller, _START)
            self.assertEqual(answer, second.choose_addresses(caller, _START))
            counts[answer.addresses[0]] += 1
        self.assertEqual(8, len(counts))
        self.assertLess(max(counts.values()), 1.25 * 250)

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_leaving_is_dropped(self, data):
        """Guards against a late list that offers a leaving entry again."""
        entries = _make_entries(data.draw(strategies.integers(2, 12)))
        membership = _make_membership(entries)
        leaving = set()
        moments = data.draw(strategies.lists(strategies.integers(0, 3)))
        for second, kind in enumerate(moments):
            entry = data.draw(strategies.sampled_from(entries))
            now = _after(second)
            if kind == 0:
                membership.observe(Heard(entry.instance, now, leaving=True))
                if entry is not entries[0]:
                    leaving.add(entry.caller_address)
            elif kind == 1:
                membership.observe(InstanceList(tuple(entries), now))
            elif kind == 2:
                membership.observe(Failed(entry.instance, now))
            else:
                membership.observe(Heard(entry.instance, now))
            answer = membership.choose_addresses("caller", now)
            self.assertEqual(set(), leaving & set(answer.addresses))

    def test_operator_drain_is_dropped(self):
        """Guards against callers sent to an entry that operators drain."""
        entries = _make_entries(6)
        membership = _make_membership(entries)
        drained = frozenset(item.instance for item in entries[:5])
        answer = membership.choose_addresses("caller", _START, drained)
        self.assertEqual((entries[5].caller_address,), answer.addresses)

    def test_unlisted_entry_is_not_offered(self):
        """Guards against addresses of an entry that is gone."""
        entries = _make_entries(2, zones=1)
        membership = _make_membership(entries)
        membership.observe(InstanceList((entries[0],), _after(1)))
        answer = membership.choose_addresses("caller", _after(6))
        self.assertEqual((entries[0].caller_address,), answer.addresses)


class TestVersions(testtools.TestCase):
    """Gossip of versions and the isolation rule."""

    @_SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.integers(0, 9))
        )
    )
    def test_never_a_lower_version(self, steps):
        """Guards against a late message that reverts a configuration."""
        gossip = VersionGossip()
        for index, (is_apply, number) in enumerate(steps):
            before = gossip.version
            elapsed = timedelta(milliseconds=index * 700)
            if is_apply:
                gossip.apply(ConfigVersion(number))
            else:
                peer = gossip.observe(
                    InstanceId("peer"), ConfigVersion(number), elapsed
                )
                self.assertTrue(peer is None or number > before)
            self.assertGreaterEqual(gossip.version, before)

    def test_fetches_once_until_timeout(self):
        """Guards against a fetch from every peer that states a version."""
        gossip = VersionGossip(timedelta(seconds=1))

        def observe(peer, number, seconds):
            return gossip.observe(
                InstanceId(peer),
                ConfigVersion(number),
                timedelta(seconds=seconds),
            )

        answers = [
            observe("a", 5, 10),
            observe("b", 5, 10.5),
            observe("c", 6, 10.6),
            observe("d", 6, 11.7),
        ]
        self.assertEqual(["a", None, "c", "d"], answers)
        self.assertFalse(gossip.is_ready)
        gossip.apply(ConfigVersion(5))
        self.assertFalse(gossip.is_ready)
        gossip.apply(ConfigVersion(6))
        observe("a", 7, 20)
        self.assertTrue(gossip.is_ready)

    def test_isolation(self):
        """Guards against a process that serves with an old configuration."""
        rule = IsolationRule(timedelta(seconds=60))
        self.assertRaises(ChicoryplankError, rule.admit, timedelta(seconds=1))
        rule.observe(timedelta(seconds=2))
        rule.admit(timedelta(seconds=62))
        self.assertRaises(ChicoryplankError, rule.admit, timedelta(seconds=63))


class TestDemand(testtools.TestCase):
    """Sums of demand along the tree."""

    def setUp(self):
        super().setUp()
        self.elapsed = timedelta()
        self.sums = {InstanceId(name): DemandSums() for name in "rab"}
        for name in "ab":
            self.sums[name].replace_parent(InstanceId("r"))

    def _beat(self, child, lose_request=False, lose_response=False):
        self.elapsed += timedelta(seconds=1)
        update = self.sums[child].choose(InstanceId("r"))
        if lose_request:
            return update
        self.sums["r"].observe_child(child, update, self.elapsed)
        response = self.sums["r"].choose(child)
        if not lose_response:
            parent = InstanceId("r")
            self.sums[child].observe_parent(parent, response, self.elapsed)
        return update

    def test_all_learn_the_total(self):
        """Guards against shares that ignore the demand at other entries."""
        accounts = [AccountId(f"account-{index}") for index in range(10)]
        for part in self.sums.values():
            part.observe_own(dict.fromkeys(accounts, 1.0))
        for _ in range(2):
            for name in "ab":
                self._beat(name)
        for part in self.sums.values():
            part.observe_own(dict.fromkeys(accounts, 2.0))
        for _ in range(8):
            for name in "ab":
                self.assertLessEqual(len(self._beat(name).changes), 4)
        expected = dict.fromkeys(accounts, 6.0)
        for part in self.sums.values():
            self.assertEqual(expected, part.sum_fleet())

    @_SETTINGS
    @hypothesis.given(strategies.data())
    def test_lost_messages_leave_no_error(self, data):
        """Guards against a value that a lost message makes wrong for ever."""
        self.sums = {InstanceId(name): DemandSums() for name in "ra"}
        self.sums["a"].replace_parent(InstanceId("r"))
        levels = strategies.sampled_from([0.0, 10.0, 20.0])
        for _ in range(data.draw(strategies.integers(1, 12))):
            for part in self.sums.values():
                part.observe_own({AccountId("x"): data.draw(levels)})
            self._beat(
                "a",
                data.draw(strategies.booleans()),
                data.draw(strategies.booleans()),
            )
        for _ in range(3):
            self._beat("a")
        sums = [part.sum_fleet() for part in self.sums.values()]
        expected = sum(
            part._own.get(AccountId("x"), 0.0) for part in self.sums.values()
        )
        for values in sums:
            self.assertEqual(expected, values.get(AccountId("x"), 0.0))

    def test_restarted_parent_learns_all(self):
        """Guards against a new parent that knows later changes only."""
        self.sums["a"].observe_own({AccountId("x"): 5.0, AccountId("y"): 1.0})
        self._beat("a")
        self._beat("a")
        self.sums["r"] = DemandSums()
        self._beat("a")
        self._beat("a")
        expected = {AccountId("x"): 5.0, AccountId("y"): 1.0}
        self.assertEqual(expected, self.sums["r"].sum_fleet())

    def test_ended_demand_frees_the_share(self):
        """Guards against an account that keeps a share for ever."""
        self.sums["a"].observe_own({AccountId("x"): 5.0})
        self._beat("a")
        self._beat("a")
        self.sums["a"].observe_own({})
        for _ in range(3):
            self._beat("a")
        self.assertEqual({}, self.sums["r"].sum_fleet())
        self.assertEqual({}, self.sums["a"].sum_fleet())

    def test_silent_child_is_dropped(self):
        """Guards against counting a child that moved to another parent."""
        self.sums["a"].observe_own({AccountId("x"): 5.0})
        self._beat("a")
        self.sums["r"].drop_silent(self.elapsed + timedelta(seconds=3))
        self.assertNotEqual({}, self.sums["r"].sum_fleet())
        self.sums["r"].drop_silent(self.elapsed + timedelta(seconds=5))
        self.assertEqual({}, self.sums["r"].sum_fleet())

    def test_late_response_of_a_former_parent(self):
        """Guards against counting the fleet as demand of a child."""
        self.sums["r"].observe_own({AccountId("x"): 50.0})
        self.sums["a"].observe_own({AccountId("x"): 5.0})
        self._beat("a", lose_response=True)
        late = self.sums["r"].choose(InstanceId("a"))
        self.sums["a"].replace_parent(InstanceId("b"))
        self.sums["a"].observe_parent(InstanceId("r"), late, self.elapsed)
        subtree = self.sums["a"].sum_subtree()
        self.assertEqual({AccountId("x"): 5.0}, subtree)
