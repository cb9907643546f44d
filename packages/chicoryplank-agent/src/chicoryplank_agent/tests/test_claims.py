"""Tests of the execution of non-idempotent requests."""

import asyncio
import dataclasses
from datetime import timedelta

import testtools

from chicoryplank.attempts import AgentAttemptTable, AttemptKey
from chicoryplank.clock import ManualClock
from chicoryplank.configuration import RequestLimits
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore
from chicoryplank.idempotency import ClaimRegistry, ClaimSettings
from chicoryplank.ids import Incarnation
from chicoryplank.verdict import Verdict
from chicoryplank_agent.claims import ClaimedExecutions
from chicoryplank_wire import relay_pb2


class TestClaimedExecutions(testtools.TestCase):
    """Tests of executions under a claim."""

    def test_executions_are_limited(self):
        """Guards against executions that pile up when callers disconnect."""
        clock = ManualClock()
        limits = dataclasses.replace(RequestLimits(), max_requests=2)
        table = AgentAttemptTable(clock, limits, timedelta())
        settings = ClaimSettings(write_interval=timedelta())
        store = MemoryStore(clock)
        budget = timedelta(seconds=9)

        async def run():
            async def fetch_response(start):
                await asyncio.Event().wait()

            executions = ClaimedExecutions(
                "agent",
                ClaimRegistry("bids", store, clock, settings),
                table,
                limits=limits,
                fetch_response=fetch_response,
            )
            tasks = []
            for number in range(3):
                key = AttemptKey(Incarnation("entry"), number)
                record = table.admit(key, False, budget, clock.now() + budget)
                start = relay_pb2.Start(idempotency_key=f"key-{number}")
                tasks.append(asyncio.create_task(executions.run(record, start)))
                while not tasks[-1].done() and record.state.value == "queued":
                    await asyncio.sleep(0)
                table.discard(key)
            count = executions.in_progress
            error = await asyncio.wait_for(
                asyncio.gather(tasks[-1], return_exceptions=True), 1
            )
            return count, error[0]

        count, error = asyncio.run(run())
        self.assertEqual(2, count)
        self.assertIsInstance(error, ChicoryplankError)
        self.assertEqual(
            (ErrorCode.TOO_MANY_REQUESTS, Verdict.NOT_RUN),
            (error.code, error.verdict),
        )
