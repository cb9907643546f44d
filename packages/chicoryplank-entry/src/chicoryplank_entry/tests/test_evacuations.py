"""Tests of the log lines about evacuations."""

import asyncio
import dataclasses

import logbook
import testtools

from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.process_state import Instance, ProcessState
from chicoryplank_entry import metrics
from chicoryplank_entry.controllers import report_evacuations


class TestReportEvacuations(testtools.TestCase):
    """Operators find the beginning and the end of each evacuation."""

    def test_begin_and_end(self):
        """Guards against missing, repeated or premature lines."""
        state = ProcessState()

        async def evacuate(*zones):
            snapshot = dataclasses.replace(
                state.snapshot.value,
                evacuated=frozenset(ZoneId(zone) for zone in zones),
            )
            state.snapshot.write(snapshot)
            await asyncio.sleep(0.01)

        async def run():
            task = asyncio.create_task(report_evacuations(state))
            await evacuate("a")
            counts = [len(handler.records)]
            agent = Instance(InstanceId("i"), "backend", ZoneId("a"), "h:1")
            state.instances.write((agent,))
            await asyncio.sleep(0.01)
            counts.append(len(handler.records))
            await evacuate("a", "typo")
            await evacuate("a", "typo")
            gauge = metrics.EVACUATED_ZONES.collect()[0].samples[0].value
            await evacuate("typo")
            task.cancel()
            return counts, gauge

        with logbook.TestHandler() as handler:
            result = asyncio.run(run())
            numbers = [record.extra["event"] for record in handler.records]
        self.assertEqual(([0, 1], 2), result)
        self.assertEqual([1310, 1312, 1311], numbers)
