"""Tests of the observable process state."""

import asyncio

import testtools

from chicoryplank.process_state import Observable, follow_observables


class TestFollowObservables(testtools.TestCase):
    """Tests that each change is yielded exactly once."""

    def test_change_between_two_waits_is_yielded(self):
        """Guards against missing a write while the previous one is handled."""

        async def run():
            first, second = Observable("a"), Observable(1)
            seen = []
            async for values in follow_observables(first, second):
                seen.append(values)
                if len(seen) == 1:
                    first.write("b")
                elif len(seen) == 2:
                    second.write(2)
                else:
                    break
            return seen

        expected = [("a", 1), ("b", 1), ("b", 2)]
        self.assertEqual(expected, asyncio.run(run()))

    def test_unchanged_values_are_not_repeated(self):
        """Guards against repeating work for unchanged values."""

        async def run():
            observable = Observable("a")
            changes = follow_observables(observable)
            await anext(changes)
            waiting = asyncio.ensure_future(anext(changes))
            await asyncio.sleep(0.02)
            idle = not waiting.done()
            observable.write("b")
            return idle, await waiting

        self.assertEqual((True, ("b",)), asyncio.run(run()))
