"""Tests of the runs of non-idempotent requests."""

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
from chicoryplank_agent.claims import ClaimedRuns
from chicoryplank_wire import relay_pb2


class TestClaimedRuns(testtools.TestCase):
    """Runs under a claim, within the limits of the agent."""

    def test_runs_are_bounded(self):
        """Guards against runs that pile up when their callers go away."""
        clock = ManualClock()
        limits = dataclasses.replace(RequestLimits(), max_requests=2)
        table = AgentAttemptTable(clock, limits, timedelta())
        settings = ClaimSettings(write_interval=timedelta())
        store = MemoryStore(clock)
        budget = timedelta(seconds=9)

        async def run():
            async def collect(start):
                await asyncio.Event().wait()

            runs = ClaimedRuns(
                "agent",
                ClaimRegistry("bids", store, clock, settings),
                table,
                limits=limits,
                collect=collect,
            )
            tasks = []
            for number in range(3):
                key = AttemptKey(Incarnation("entry"), number)
                record = table.admit(key, False, budget, clock.now() + budget)
                start = relay_pb2.Start(idempotency_key=f"key-{number}")
                tasks.append(asyncio.create_task(runs.run(record, start)))
                while not tasks[-1].done() and record.state.value == "queued":
                    await asyncio.sleep(0)
                table.discard(key)
            count = runs.in_progress
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
