"""Tests of the agent's attempt table."""

from datetime import timedelta

import testtools

from chicoryplank.attempts import AgentAttemptTable, AttemptKey
from chicoryplank.clock import ManualClock
from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import Incarnation
from chicoryplank.verdict import Verdict

_KEY = AttemptKey(Incarnation("entry-1-a"), 7)
_SECOND = timedelta(seconds=1)


class TestAttemptTable(testtools.TestCase):
    """Attempts start at most once; settling and replay are correct."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        limits = RequestLimits(max_tombstones=3, max_buffer_bytes=8)
        self.table = AgentAttemptTable(self.clock, limits, 0.5 * _SECOND)

    def _admit(self, key=_KEY, budget=10 * _SECOND):
        deadline = self.clock.now() + budget
        return self.table.admit(key, False, budget, deadline)

    def _assert_rejected(self, code, call, *arguments):
        error = self.assertRaises(ChicoryplankError, call, *arguments)
        self.assertEqual(code, error.code)
        return error

    def test_duplicate_start_is_ignored(self):
        """Guards against running a request twice after a duplicate message."""
        record = self._admit()
        self.assertIsNotNone(record)
        self.assertIsNone(self._admit())

    def test_late_start_after_settling_is_rejected(self):
        """Guards against a run after the entry was told NOT_RUN."""
        self.assertFalse(self.table.settle(_KEY))
        error = self._assert_rejected(ErrorCode.ATTEMPT_ABANDONED, self._admit)
        self.assertIs(Verdict.NOT_RUN, error.verdict)

    def test_queued_attempt_that_was_settled_cannot_start(self):
        """Guards against a start between settling and the backend call."""
        record = self._admit()
        self.assertFalse(self.table.settle(_KEY))
        self._assert_rejected(
            ErrorCode.ATTEMPT_ABANDONED, self.table.start, record
        )

    def test_running_attempt_settles_as_started(self):
        """Guards against NOT_RUN for a request that is running."""
        self.table.start(self._admit())
        self.assertTrue(self.table.settle(_KEY))

    def test_discarded_run_settles_as_started(self):
        """Guards against NOT_RUN for a run dropped after its entry left."""
        self.table.start(self._admit())
        self.table.discard(_KEY)
        self.assertTrue(self.table.settle(_KEY))
        error = self._assert_rejected(ErrorCode.ATTEMPT_ABANDONED, self._admit)
        self.assertIs(Verdict.MAY_HAVE_RUN, error.verdict)

    def test_message_after_its_deadline_is_rejected(self):
        """Guards against running a request whose caller has timed out."""
        deadline = self.clock.now() + _SECOND
        self.clock.advance(2 * _SECOND)
        self._assert_rejected(
            ErrorCode.DEADLINE_EXCEEDED,
            self.table.admit,
            _KEY,
            True,
            _SECOND,
            deadline,
        )

    def test_attempt_does_not_start_after_its_deadline(self):
        """Guards against an expired start after the agent was suspended."""
        record = self._admit(budget=_SECOND)
        self.clock.advance(2 * _SECOND)
        self._assert_rejected(
            ErrorCode.DEADLINE_EXCEEDED, self.table.start, record
        )

    def test_tombstone_outlasts_clock_skew(self):
        """Guards against a run after NOT_RUN if the clock is behind."""
        limits = RequestLimits()
        skew = 0.5 * _SECOND
        deadline = self.clock.now() + limits.max_timeout + skew
        late = limits.max_timeout + skew
        self.table.settle(_KEY)
        self.clock.advance(late)
        self._assert_rejected(
            ErrorCode.ATTEMPT_ABANDONED,
            self.table.admit,
            _KEY,
            True,
            _SECOND,
            deadline,
        )

    def test_short_budget_does_not_shorten_a_tombstone(self):
        """Guards against a second start between budget and deadline."""
        deadline = self.clock.now() + 100 * _SECOND
        record = self.table.admit(_KEY, True, 70 * _SECOND, deadline)
        self.table.start(record)
        self.table.discard(_KEY)
        self.clock.advance(90 * _SECOND)
        self._assert_rejected(
            ErrorCode.ATTEMPT_ABANDONED,
            self.table.admit,
            _KEY,
            True,
            70 * _SECOND,
            deadline,
        )

    def test_rejected_start_stays_rejected(self):
        """Guards against a run by a duplicate message after NOT_RUN."""
        self.table.draining = True
        self._assert_rejected(ErrorCode.SHUTTING_DOWN, self._admit)
        self.table.draining = False
        self._assert_rejected(ErrorCode.ATTEMPT_ABANDONED, self._admit)
        self.assertIsNotNone(self._admit(AttemptKey(_KEY.incarnation, 8)))

    def test_draining_rejects_only_new_attempts(self):
        """Guards against new attempts at a backend server that is draining."""
        record = self._admit()
        self.table.draining = True
        other = AttemptKey(_KEY.incarnation, 8)
        self._assert_rejected(ErrorCode.SHUTTING_DOWN, self._admit, other)
        self.table.start(record)

    def test_full_table_keeps_its_tombstones(self):
        """Guards against dropping a tombstone that is still needed."""
        for sequence in range(3):
            self.table.settle(AttemptKey(_KEY.incarnation, sequence))
        self._assert_rejected(ErrorCode.TOO_MANY_REQUESTS, self._admit)
        self._assert_rejected(
            ErrorCode.OUTCOME_UNKNOWN, self.table.settle, _KEY
        )

    def test_unacknowledged_attempt_is_removed_after_its_deadline(self):
        """Guards against a table left full by lost acknowledgements."""
        limits = RequestLimits(max_requests=2)
        self.table = AgentAttemptTable(self.clock, limits, 0.5 * _SECOND)
        for sequence in range(2):
            key = AttemptKey(_KEY.incarnation, sequence)
            record = self._admit(key)
            self.table.start(record)
            self.table.append(record, b"abc")
        self.table.finish(record)
        self.clock.advance(9 * _SECOND)
        self._assert_rejected(
            ErrorCode.TOO_MANY_REQUESTS,
            self._admit,
            AttemptKey(_KEY.incarnation, 2),
        )
        self.clock.advance(3 * _SECOND)
        self.assertIsNotNone(self._admit())
        self.assertTrue(self.table.settle(key))
        self._assert_rejected(
            ErrorCode.TOO_MANY_REQUESTS,
            self._admit,
            AttemptKey(_KEY.incarnation, 8),
        )

    def test_finished_attempt_is_not_started_again(self):
        """Guards against a duplicate that arrives after the response."""
        record = self._admit()
        self.table.start(record)
        self.table.append(record, b"abc")
        self.table.finish(record)
        self.table.acknowledge(_KEY, 3)
        self.assertEqual(0, len(self.table))
        self._assert_rejected(ErrorCode.ATTEMPT_ABANDONED, self._admit)

    def test_replay_starts_at_the_requested_offset(self):
        """Guards against lost or repeated bytes after a reconnect."""
        record = self._admit()
        self.table.start(record)
        self.table.append(record, b"abcdef")
        self.table.acknowledge(_KEY, 2)
        self.assertEqual(b"def", self.table.read_from(record, 3))
        self._assert_rejected(
            ErrorCode.ANSWER_TRUNCATED, self.table.read_from, record, 1
        )

    def test_unacknowledged_output_is_bounded(self):
        """Guards against a slow caller that exhausts the agent's memory."""
        record = self._admit()
        self.table.append(record, b"12345678")
        self._assert_rejected(
            ErrorCode.CALLER_TOO_SLOW, self.table.append, record, b"9"
        )
