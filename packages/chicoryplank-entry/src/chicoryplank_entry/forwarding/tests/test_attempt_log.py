"""Tests of the log lines about attempts, on loopback."""

import logbook

from chicoryplank.events import Event
from chicoryplank_entry.forwarding.tests.harness import reject
from chicoryplank_entry.forwarding.tests.running_replica import (
    NotRunCase,
    RunningReplica,
    send_rejection,
)


class TestAttemptLog(NotRunCase):
    """The log shows what each verdict rests on."""

    def _send_recorded(self, replica, **arguments):
        """Returns the fields of all log lines by event."""
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.send_requests(replica, **arguments)
        lines = {}
        for record in handler.records:
            fields = record.extra["fields"]
            lines.setdefault(record.extra["event"], []).append(fields)
        return lines

    def test_rejection_is_logged_with_its_evidence(self):
        """Guards against a verdict that cannot be explained afterwards."""

        async def work(replica, recorded, writer):
            if len(replica.requests) == 1:
                return await reject()(recorded, writer)
            return await replica.run(recorded, writer)

        lines = self._send_recorded(RunningReplica(work))
        (fields,) = lines[Event.ATTEMPT_FAILED.number]
        self.assertEqual(("full", 503), (fields["stage"], fields["status"]))
        self.assertEqual(
            ("own", True, False, False, False),
            (
                fields["echoed_id"],
                fields["states_not_run"],
                fields["has_proof"],
                fields["reused"],
                fields["carried_before"],
            ),
        )
        self.assertEqual(
            ("not_run", "not_run"),
            (fields["verdict_before"], fields["verdict"]),
        )

    def test_broken_attempt_is_logged_with_its_verdict(self):
        """Guards against a log that shows the verdict of before an attempt."""

        async def work(replica, recorded, writer):
            return False

        lines = self._send_recorded(RunningReplica(work))
        (fields,) = lines[Event.ATTEMPT_FAILED.number]
        self.assertEqual(
            ("break", "not_run", "may_have_run"),
            (fields["stage"], fields["verdict_before"], fields["verdict"]),
        )
        self.assertNotIn("status", fields)

    def test_skipped_response_is_logged(self):
        """Guards against responses to other requests that leave no trace."""

        async def work(replica, recorded, writer):
            if len(replica.requests) > 1:
                await send_rejection(recorded, writer, request_id="70")
            return await replica.run(recorded, writer)

        lines = self._send_recorded(RunningReplica(work), count=2)
        (fields,) = lines[Event.RESPONSE_SKIPPED.number]
        self.assertEqual(
            ("71", "70", 503, True),
            (
                fields["request"],
                fields["echoed_id"],
                fields["status"],
                fields["reused"],
            ),
        )
