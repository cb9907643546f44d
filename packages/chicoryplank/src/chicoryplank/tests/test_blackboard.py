"""Tests of the shared state of a process."""

import asyncio

import testtools

from chicoryplank.blackboard import Section, follow_sections


class TestFollowSections(testtools.TestCase):
    """Each change is seen once."""

    def test_change_between_two_waits_is_seen(self):
        """Guards against a write that comes while the last one is handled."""

        async def run():
            first, second = Section("a"), Section(1)
            seen = []
            async for values in follow_sections(first, second):
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

    def test_unchanged_sections_are_not_repeated(self):
        """Guards against work that is done again for the same values."""

        async def run():
            section = Section("a")
            changes = follow_sections(section)
            await anext(changes)
            waiting = asyncio.ensure_future(anext(changes))
            await asyncio.sleep(0.02)
            idle = not waiting.done()
            section.write("b")
            return idle, await waiting

        self.assertEqual((True, ("b",)), asyncio.run(run()))
