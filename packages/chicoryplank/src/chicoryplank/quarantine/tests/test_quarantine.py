"""Tests of the attribution of crashes to features of requests."""

import contextlib
import random
import signal

import testtools

from chicoryplank.ids import ServiceId
from chicoryplank.quarantine import (
    MalformedReportError,
    Quarantine,
    SuspectAttempt,
    make_part_feature,
    make_request_feature,
)

_SERVICE = ServiceId("llm")
_SHARED = make_part_feature(_SERVICE, "shared")
_RARE = make_part_feature(_SERVICE, "rare")
_BAD = make_part_feature(_SERVICE, "bad")


def make_part(number):
    """Returns the feature of a part that few requests have."""
    return make_part_feature(_SERVICE, f"a{number}")


@contextlib.contextmanager
def limit_time(seconds):
    """Fails a test whose code does not return, instead of hanging with it."""

    def fail(number, frame):
        raise TimeoutError(f"no end within {seconds} s")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)


class Trouble:
    """Crashes and successes at one entry, ten seconds apart."""

    def __init__(self, entry="entry-1"):
        self.quarantine = Quarantine()
        self.now_s = 100.0
        self.crashes = 0
        self._entry = entry

    def crash(self, *requests, version="v1", sent_ago_s=0.05, after_s=10.0):
        """Crashes a replica under requests with the given features."""
        attempts = [(sent_ago_s, features) for features in requests]
        self.crash_under(attempts, version=version, after_s=after_s)

    def crash_under(self, attempts, *, version="v1", after_s=10.0):
        """Crashes a replica under requests sent some seconds before."""
        self.now_s += after_s
        self.crashes += 1
        self.quarantine.observe_crash(
            f"{self._entry}-replica-{self.crashes}/1",
            _SERVICE,
            version,
            [
                SuspectAttempt(self.now_s - sent_ago_s, features)
                for sent_ago_s, features in attempts
            ],
            entry=self._entry,
            replica_count=16,
            seen_s=self.now_s,
            now_s=self.now_s,
        )

    def succeed(self, *features, count=1, sent_ago_s=1.0, is_complete=True):
        """Ends requests without a crash."""
        self.now_s += 5.0
        for _ in range(count):
            self.quarantine.observe_success(
                _SERVICE,
                features,
                self.now_s - sent_ago_s,
                self.now_s,
                is_complete=is_complete,
            )

    def is_refused(self, *features):
        return self.quarantine.find_verdict(features) is not None


class TestBlame(testtools.TestCase):
    """Which features are put into quarantine."""

    def crash_repeatedly(self, trouble, count=4):
        for number in range(count):
            trouble.crash((_SHARED, _BAD), (_SHARED, make_part(number)))
            trouble.succeed(_SHARED, make_part(9), count=5)

    def test_part_under_which_replicas_crash_in_turn(self):
        """Guards against requests that crash one replica after the other."""
        trouble = Trouble()
        self.crash_repeatedly(trouble)
        self.assertTrue(trouble.is_refused(_SHARED, _BAD))
        self.assertFalse(trouble.is_refused(_SHARED, make_part(0)))

    def test_part_that_all_requests_share(self):
        """Guards against refusing everything when nothing survives."""
        trouble = Trouble()
        for number in range(10):
            trouble.crash((_SHARED, make_part(number)))
        self.assertFalse(trouble.is_refused(_SHARED))

    def test_response_from_before_the_crashes(self):
        """Guards against clearing a part by a request sent before a crash."""
        trouble = Trouble()
        for _ in range(4):
            trouble.crash((_SHARED, _BAD))
            trouble.succeed(_SHARED, make_part(9), count=5)
            trouble.succeed(_SHARED, _BAD, sent_ago_s=1000.0)
        self.assertTrue(trouble.is_refused(_BAD))

    def test_complete_response_clears(self):
        """Guards against blame for a part that was served in between."""
        trouble = Trouble()
        for _ in range(6):
            trouble.crash((_SHARED, _BAD))
            trouble.succeed(_SHARED, make_part(9), count=5)
            trouble.succeed(_SHARED, _BAD)
        self.assertFalse(trouble.is_refused(_BAD))

    def test_replicas_that_crash_together(self):
        """Guards against counting one power loss as many crashes."""
        trouble = Trouble()
        trouble.succeed(_SHARED, make_part(9), count=20)
        for _ in range(8):
            trouble.crash((_SHARED, _BAD), (_SHARED, make_part(1)))
            trouble.now_s -= 10.0
        trouble.succeed(_SHARED, make_part(9), count=20)
        self.assertFalse(trouble.is_refused(_BAD))

    def test_one_survival_does_not_clear(self):
        """Guards against a request that its group held back just in time."""
        trouble = Trouble()
        trouble.crash((_SHARED, _BAD))
        trouble.succeed(_SHARED, _BAD, is_complete=False)
        self.crash_repeatedly(trouble, 3)
        self.assertTrue(trouble.is_refused(_BAD))


class TestCompanions(testtools.TestCase):
    """Features that harmful requests always have together."""

    def setUp(self):
        super().setUp()
        self.trouble = Trouble()
        for _ in range(4):
            self.trouble.crash((_SHARED, _RARE, _BAD))
            self.trouble.succeed(_SHARED, make_part(9), count=5)

    def test_either_feature_alone_is_sent(self):
        """Guards against refusing another account's part that came along."""
        trouble = self.trouble
        self.assertTrue(trouble.is_refused(_SHARED, _RARE, _BAD))
        self.assertFalse(trouble.is_refused(_SHARED, _RARE, make_part(1)))
        self.assertFalse(trouble.is_refused(_SHARED, make_part(1)))

    def test_features_of_other_requests_are_no_companions(self):
        """Guards against a verdict that waits for what ran beside it."""
        trouble = Trouble()
        for _ in range(4):
            trouble.crash((_SHARED, _BAD), (_SHARED, _RARE))
            trouble.succeed(_SHARED, make_part(9), count=5)
        self.assertTrue(trouble.is_refused(_SHARED, _BAD))

    def test_success_of_one_leaves_the_other(self):
        """Guards against a harmful part that a sound companion protects."""
        self.trouble.succeed(_SHARED, _RARE, make_part(1))
        self.assertTrue(self.trouble.is_refused(_SHARED, _BAD))
        self.assertFalse(self.trouble.is_refused(_SHARED, _RARE))

    def test_crash_without_the_companion_narrows_the_verdict(self):
        """Guards against a row of crashes for each companion."""
        self.trouble.crash((_SHARED, make_part(1), _BAD))
        self.assertTrue(self.trouble.is_refused(_SHARED, make_part(2), _BAD))
        self.assertFalse(self.trouble.is_refused(_SHARED, _RARE))

    def test_other_entry_narrows_too(self):
        """Guards against entries that disagree on what is refused."""
        other = Quarantine()
        for _ in range(2):
            items = self.trouble.quarantine.encode_all(self.trouble.now_s)
            other.merge(items, self.trouble.now_s, "peer")
            self.trouble.succeed(_SHARED, _RARE, make_part(1))
        self.assertIsNotNone(other.find_verdict((_SHARED, _BAD)))
        self.assertIsNone(other.find_verdict((_SHARED, _RARE)))


class TestOverlappingCrashes(testtools.TestCase):
    """Pairs of crashes, of which only the first has a further feature."""

    def crash_in_pairs(self, trouble, *, count=3):
        for _ in range(count):
            trouble.crash((_SHARED, _RARE, _BAD))
            trouble.crash((_SHARED, _BAD), after_s=0.02)
            trouble.succeed(_SHARED, make_part(9), count=5)

    def test_pairs_end_in_one_verdict(self):
        """Guards against an entry that hangs in the search for a verdict."""
        trouble = Trouble()
        with limit_time(5.0):
            self.crash_in_pairs(trouble)
        self.assertTrue(trouble.is_refused(_SHARED, _BAD))
        self.assertFalse(trouble.is_refused(_SHARED, _RARE))

    def test_pairs_in_reports_of_another_entry(self):
        """Guards against an entry that hangs when it merges crashes."""
        troubles = [Trouble("entry-1"), Trouble("entry-2")]
        with limit_time(5.0):
            for _ in range(3):
                for trouble in troubles:
                    self.crash_in_pairs(trouble, count=1)
                for trouble, other in (troubles, troubles[::-1]):
                    items = other.quarantine.encode_all(other.now_s)
                    trouble.quarantine.merge(items, trouble.now_s, "peer")
        for trouble in troubles:
            self.assertTrue(trouble.is_refused(_SHARED, _BAD))

    def test_full_table_of_verdicts(self):
        """Guards against a hang when no further verdict fits."""
        trouble = Trouble()
        verdicts = [
            {
                "feature": make_part(number),
                "service": _SERVICE,
                "generation": 1,
                "age_s": 0.0,
                "versions": [],
                "companions": [],
            }
            for number in range(100, 356)
        ]
        trouble.quarantine.merge(verdicts, trouble.now_s + 1000.0, "peer")
        with limit_time(5.0):
            self.crash_in_pairs(trouble, count=5)

    def test_verdict_in_force_is_not_lifted(self):
        """Guards against a second verdict on a feature that ends the first."""
        trouble = Trouble()
        with limit_time(5.0):
            self.crash_in_pairs(trouble)
            self.crash_in_pairs(trouble)
        (verdict,) = trouble.quarantine.list_verdicts()
        self.assertEqual((_BAD, 1), (verdict.feature, verdict.generation))

    def test_single_crash_at_the_same_moment_keeps_the_companion(self):
        """Guards against a wider verdict because of a common power loss."""
        trouble = Trouble()
        trouble.succeed(_SHARED, make_part(9), count=20)
        for _ in range(3):
            trouble.crash((_SHARED, _RARE, _BAD))
        trouble.crash((_SHARED, _BAD), after_s=0.02)
        trouble.succeed(_SHARED, make_part(9), count=5)
        self.assertFalse(trouble.is_refused(_SHARED, _BAD))
        self.assertTrue(trouble.is_refused(_SHARED, _RARE, _BAD))


class TestManyStreams(testtools.TestCase):
    """Load pattern: each crash cuts off many streams, and nothing completes."""

    def setUp(self):
        super().setUp()
        self.trouble = Trouble()
        self.requests = 0

    def make_streams(self, *sent_ago_s, part=None):
        """Returns sound requests with one of five parts, or a given one."""
        streams = []
        for seconds in sent_ago_s:
            self.requests += 1
            own = b"%d" % self.requests
            features = (
                _SHARED,
                part or make_part(self.requests % 5),
                make_request_feature(_SERVICE, "a", "POST", "/", own),
            )
            streams.append((seconds, features))
        return streams

    def test_harmful_part(self):
        """Guards against requests that crash replicas and are sent on."""
        for number in range(5):
            self.trouble.crash_under(
                [
                    (0.06, (_SHARED, _BAD, make_part(number))),
                    *self.make_streams(*(0.02 + 0.2 * n for n in range(11))),
                ]
            )
        self.assertTrue(self.trouble.is_refused(_SHARED, _BAD))
        self.assertFalse(self.trouble.is_refused(_SHARED, make_part(0)))

    def test_part_of_most_streams(self):
        """Guards against blame for the last of many requests with a part."""
        popular = make_part(0)
        for seed in range(20):
            rng = random.Random(seed)
            self.trouble = Trouble()
            for _ in range(10):
                sent_ago_s = [rng.uniform(0.0, 2.2) for _ in range(12)]
                self.trouble.crash_under(
                    [
                        *self.make_streams(*sent_ago_s[2:], part=popular),
                        *self.make_streams(*sent_ago_s[:2], part=_RARE),
                    ]
                )
            self.assertEqual(
                [], self.trouble.quarantine.list_verdicts(), f"seed {seed}"
            )

    def test_requests_that_were_sent_together(self):
        """Guards against blame when replicas crash as soon as they return."""
        for _ in range(8):
            self.trouble.crash_under(
                [
                    (0.06, (_SHARED, _RARE)),
                    *self.make_streams(*(0.06 for _ in range(11))),
                ]
            )
        self.assertFalse(self.trouble.is_refused(_SHARED, _RARE))

    def test_part_of_all_requests(self):
        """Guards against refusing all requests after short ones."""
        for _ in range(8):
            self.trouble.crash_under(
                self.make_streams(*(0.02 + 0.2 * n for n in range(11)))
            )
        self.assertEqual([], self.trouble.quarantine.list_verdicts())

    def test_requests_with_more_parts_than_known(self):
        """Guards against taking a request for one without a part."""
        parts = [make_part(number) for number in range(20, 25)]
        for _ in range(8):
            self.trouble.crash_under(
                [
                    (0.05, (_BAD, *parts)),
                    *(
                        (0.5, (_SHARED, _BAD, *parts, features[-1]))
                        for _, features in self.make_streams(*range(10))
                    ),
                ]
            )
        self.assertFalse(self.trouble.is_refused(_BAD, *parts))


class TestLifting(testtools.TestCase):
    """What ends a quarantine."""

    def test_complete_response_lifts(self):
        """Guards against a quarantine that a trial can't end."""
        trouble = Trouble()
        TestBlame.crash_repeatedly(self, trouble)
        trouble.succeed(_SHARED, _BAD)
        self.assertFalse(trouble.is_refused(_BAD))

    def test_crash_of_another_version_extends_the_verdict(self):
        """Guards against a trial for each replica of a version that fails."""
        trouble = Trouble()
        TestBlame.crash_repeatedly(self, trouble)
        trouble.crash((_SHARED, _BAD), version="v2")
        (verdict,) = trouble.quarantine.list_verdicts()
        self.assertEqual({"v1", "v2"}, verdict.versions)


class TestMerging(testtools.TestCase):
    """Entries come to the same verdicts whatever messages they get."""

    def test_crashes_of_several_entries_add_up(self):
        """Guards against entries that each see too few crashes."""
        troubles = [Trouble(f"entry-{number}") for number in range(4)]
        for number, trouble in enumerate(troubles):
            trouble.now_s += 10.0 * number
            trouble.crash((_SHARED, _BAD))
            trouble.succeed(_SHARED, make_part(9), count=5)
        last = troubles[-1]
        for other in troubles[:-1]:
            items = other.quarantine.encode_all(last.now_s)
            last.quarantine.merge(items, last.now_s, "peer")
        self.assertTrue(last.is_refused(_BAD))

    def test_repeated_messages_change_nothing(self):
        """Guards against counting a crash once for each message."""
        trouble = Trouble()
        trouble.crash((_SHARED, _BAD))
        trouble.succeed(_SHARED, make_part(9), count=20)
        items = trouble.quarantine.encode_all(trouble.now_s)
        for _ in range(10):
            trouble.quarantine.merge(items, trouble.now_s, "peer")
        self.assertFalse(trouble.is_refused(_BAD))

    def test_lifted_verdict_stays_lifted(self):
        """Guards against an old message that brings a quarantine back."""
        trouble = Trouble()
        TestBlame.crash_repeatedly(self, trouble)
        items = trouble.quarantine.encode_all(trouble.now_s)
        trouble.succeed(_SHARED, _BAD)
        trouble.quarantine.merge(items, trouble.now_s, "peer")
        self.assertFalse(trouble.is_refused(_BAD))

    def test_malformed_items(self):
        """Guards against an entry that fails because of another's message."""
        trouble = Trouble()
        TestBlame.crash_repeatedly(self, trouble)
        items = trouble.quarantine.encode_all(trouble.now_s)
        for item in items:
            for name in item:
                for value in (None, -1, "x" * 1000, [], {"a": "b"}, 1e999):
                    changed = {**item, name: value}
                    try:
                        Quarantine().merge([changed], 0.0, "peer")
                    except MalformedReportError:
                        continue

    def test_old_crashes_are_dropped(self):
        """Guards against the cost of a crash for the life of a process."""
        trouble = Trouble()
        trouble.crash((_SHARED, _BAD))
        trouble.quarantine.expire(trouble.now_s + 601.0)
        self.assertFalse(trouble.quarantine.is_watching(_SERVICE))

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the parts callers invent."""
        trouble = Trouble()
        for number in range(300):
            features = [
                make_part_feature(_SERVICE, f"{number}-{part}")
                for part in range(40)
            ]
            trouble.crash(features, features[:20])
        size = len(str(trouble.quarantine.encode_all(trouble.now_s)))
        self.assertLess(size, 500_000)


class TestProbation(testtools.TestCase):
    """Load pattern: one request crashes a lock-step group at each return."""

    def setUp(self):
        super().setUp()
        self.trouble = Trouble()
        self.harmful = make_request_feature(_SERVICE, "a", "POST", "/", b"1")
        self.sound = make_request_feature(_SERVICE, "a", "POST", "/", b"2")
        self.trouble.crash([_SHARED, self.harmful], [_SHARED, self.sound])

    def _get_s(self, *features, after_s=0.0):
        trouble = self.trouble
        return trouble.quarantine.get_probation_s(
            _SERVICE, features, trouble.now_s + after_s
        )

    def test_equal_requests_are_on_probation(self):
        """Guards against a request that crashes a group again and again."""
        self.assertEqual(30.0, self._get_s(_SHARED, self.harmful))
        self.assertEqual(24.0, self._get_s(self.harmful, after_s=6.0))

    def test_probation_ends(self):
        """Guards against refusing sound requests for long."""
        self.assertEqual(0.0, self._get_s(self.sound, after_s=30.0))

    def test_other_requests_are_not_on_probation(self):
        """Guards against refusing all requests that share a prompt part."""
        other = make_request_feature(_SERVICE, "a", "POST", "/", b"3")
        self.assertEqual(0.0, self._get_s(_SHARED, other))

    def test_success_clears_a_suspect(self):
        """Guards against refusing a request that is known to be sound."""
        self.trouble.succeed(_SHARED, self.sound)
        self.assertEqual(0.0, self._get_s(self.sound))
        self.assertEqual(25.0, self._get_s(self.harmful))

    def test_crash_under_many_requests_puts_none_on_probation(self):
        """Guards against refusals that cost more than another crash."""
        trouble = Trouble()
        features = [
            make_request_feature(_SERVICE, "a", "POST", "/", b"%d" % number)
            for number in range(13)
        ]
        trouble.crash(*([feature] for feature in features))
        left_s = trouble.quarantine.get_probation_s(
            _SERVICE, features, trouble.now_s
        )
        self.assertEqual(0.0, left_s)
