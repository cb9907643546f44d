"""Tests of the entry's attempt table."""

import asyncio

import testtools

from chicoryplank.attempts import AttemptState, EntryAttemptTable
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import Incarnation, InstanceId
from chicoryplank.verdict import Verdict

_AGENT = InstanceId("replica-1")
_FIRST = Incarnation("a")


class TestEntryAttemptTable(testtools.TestCase):
    """Responses are complete despite late, repeated and missing frames."""

    def setUp(self):
        super().setUp()
        self.table = EntryAttemptTable(max_buffer_bytes=10)

    def _open(self):
        attempt = self.table.open(_AGENT)
        self.table.mark_sent(attempt, _FIRST)
        self.table.observe_accepted(_AGENT, attempt.sequence, 200, ())
        return attempt

    def test_repeated_output_is_discarded(self):
        """Guards against duplicate bytes in a response after a replay."""
        attempt = self._open()
        self.table.observe_chunk(_AGENT, attempt.sequence, 0, b"abc")
        self.table.observe_chunk(_AGENT, attempt.sequence, 1, b"bcde")
        self.table.observe_end(_AGENT, attempt.sequence, 5)
        self.assertEqual(b"abcde", asyncio.run(attempt.read()))
        self.assertEqual(b"", asyncio.run(attempt.read()))

    def test_gap_fails_the_attempt(self):
        """Guards against a response with missing bytes."""
        attempt = self._open()
        accepted = self.table.observe_chunk(_AGENT, attempt.sequence, 3, b"abc")
        self.assertFalse(accepted)
        self.assertEqual(ErrorCode.ANSWER_TRUNCATED, attempt.error.code)

    def test_short_response_fails(self):
        """Guards against a truncated response that is reported as complete."""
        attempt = self._open()
        self.table.observe_chunk(_AGENT, attempt.sequence, 0, b"abc")
        self.table.observe_end(_AGENT, attempt.sequence, 5)
        self.assertEqual(b"abc", asyncio.run(attempt.read()))
        error = self.assertRaises(
            ChicoryplankError, asyncio.run, attempt.read()
        )
        self.assertEqual(ErrorCode.ANSWER_TRUNCATED, error.code)

    def test_frames_of_another_agent_are_dropped(self):
        """Guards against a response that reaches the wrong request."""
        attempt = self._open()
        other = InstanceId("replica-2")
        self.table.observe_chunk(other, attempt.sequence, 0, b"abc")
        self.assertEqual(0, attempt.received)

    def test_late_frames_of_a_closed_attempt_are_dropped(self):
        """Guards against late output of an abandoned attempt."""
        attempt = self._open()
        self.table.close(attempt)
        self.table.observe_chunk(_AGENT, attempt.sequence, 0, b"abc")
        self.assertEqual(0, attempt.received)

    def test_new_incarnation_leaves_the_outcome_unknown(self):
        """Guards against NOT_RUN for a request that may have run."""
        attempt = self._open()
        recovery = self.table.plan_recovery(_AGENT, Incarnation("b"))
        self.assertEqual((), recovery.settles + recovery.resumes)
        self.assertIs(Verdict.MAY_HAVE_RUN, attempt.error.verdict)

    def test_reconnect_settles_or_resumes(self):
        """Guards against attempts that stay unresolved after a reconnect."""
        running = self._open()
        self.table.observe_chunk(_AGENT, running.sequence, 0, b"abc")
        sent = self.table.open(_AGENT)
        self.table.mark_sent(sent, _FIRST)
        pending = self.table.open(_AGENT)
        recovery = self.table.plan_recovery(_AGENT, _FIRST)
        self.assertEqual((sent.sequence,), recovery.settles)
        self.assertEqual(((running.sequence, 3),), recovery.resumes)
        self.assertIs(AttemptState.PENDING, pending.state)
        self.table.observe_settled(_AGENT, sent.sequence, False)
        self.assertIs(Verdict.NOT_RUN, sent.error.verdict)

    def test_full_buffer_fails_the_attempt(self):
        """Guards against a slow caller that exhausts the entry's memory."""
        attempt = self._open()
        self.table.observe_chunk(_AGENT, attempt.sequence, 0, b"a" * 10)
        self.assertFalse(
            self.table.observe_chunk(_AGENT, attempt.sequence, 10, b"b")
        )
        self.assertEqual(ErrorCode.CALLER_TOO_SLOW, attempt.error.code)

    def test_not_run_after_acceptance_breaks_an_invariant(self):
        """Guards against acting on NOT_RUN for an attempt that has run."""
        attempt = self._open()
        error = ChicoryplankError(ErrorCode.BACKEND_FAILED, "x")
        raised = self.assertRaises(
            ChicoryplankError,
            self.table.observe_refused,
            _AGENT,
            attempt.sequence,
            error,
        )
        self.assertEqual(ErrorCode.INVARIANT_VIOLATED, raised.code)
