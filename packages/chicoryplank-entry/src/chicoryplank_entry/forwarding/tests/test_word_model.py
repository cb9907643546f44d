"""Tests of words of replicas on simulated fleets.

Load pattern: replicas leave, pause, start again under their id and lapse one
after the other, while responses are lost and requests keep arriving.
"""

import testtools

from chicoryplank_entry.forwarding.tests.word_model import (
    WordFleet,
    remove_leaving,
    remove_memory,
    remove_pauses,
)

_SEEDS = range(1, 13)
_MAX_IN_PAUSE = 2


def _play(seed, remove=None):
    fleet = WordFleet(seed)
    if remove is not None:
        for state in fleet.entries:
            remove(state)
    for _ in range(60):
        fleet.run(0.5, rate_per_s=45.0)
        fleet.disturb()
    return fleet


def _count_violations(remove):
    """Returns late arrivals, and the most requests in one pause."""
    fleets = [_play(seed, remove) for seed in _SEEDS]
    return (
        sum(fleet.late_arrivals for fleet in fleets),
        max(max(fleet.pauses.values(), default=0) for fleet in fleets),
    )


class TestWordsOfFleet(testtools.TestCase):
    """Replicas get no more than their words allow, and no less."""

    def test_words_are_kept(self):
        """Guards against requests to replicas that leave or pause."""
        late, most = _count_violations(None)
        self.assertEqual(0, late)
        self.assertLessEqual(most, _MAX_IN_PAUSE)

    def test_sound_replicas_are_used(self):
        """Guards against holds that outlive their reason."""
        for seed in _SEEDS:
            fleet = _play(seed)
            self.assertGreater(fleet.served, 0.85 * fleet.sent, seed)
            for replica in fleet.replicas:
                replica.born += 1
                replica.is_leaving = False
                replica.paused_until_s = 0.0
                replica.is_registered = True
            fleet._publish()
            for state in fleet.entries:
                held = state.holds.list_held(fleet.now_s + 1.0)
                self.assertEqual(frozenset(), held)

    def test_without_the_leaving_header(self):
        """Guards against a model that meets no leaving replica."""
        late, _ = _count_violations(remove_leaving)
        self.assertGreater(late, 0)

    def test_without_pauses(self):
        """Guards against a model that meets no pause."""
        _, most = _count_violations(remove_pauses)
        self.assertGreater(most, _MAX_IN_PAUSE)

    def test_without_memory_beyond_a_registration(self):
        """Guards against a model in which no registration lapses."""
        late, _ = _count_violations(remove_memory)
        self.assertGreater(late, 0)
