"""Tests of requests whose prompts have a part that crashes replicas.

Load pattern: callers keep sending requests with that part, no two alike, among
sound ones that share their account and their other parts.
"""

import asyncio

import testtools

from chicoryplank_entry.forwarding.tests.harmful_load import send_load

_MAX_LATE_ARRIVALS = 3
_MIN_SERVED_SHARE = 0.5
_CRASHES = 5


def make_fields(number):
    """Returns a request, every fifth of them with the harmful part."""
    harmful = number % 5 == 2
    part = "bad" if harmful else f"a{number % 4}"
    fields = {
        "target": f"/notes/{number}",
        "Prompt-Parts": f"shared:40,{part}:300,u{number}:90",
    }
    return fields, harmful


def is_harmful(recorded):
    """Returns whether a request that a replica got has the harmful part."""
    return ",bad:" in recorded.headers.get("prompt-parts", "")


class TestHarmfulPart(testtools.TestCase):
    """One part of a prompt crashes each replica that begins to respond."""

    def test_part_that_crashes_replicas_is_sent_on_and_on(self):
        """Guards against sending a harmful part after five crashes."""
        result = asyncio.run(send_load(is_harmful, make_fields))
        self.assertGreaterEqual(len(result.crashes), _CRASHES - 2)
        if len(result.crashes) >= _CRASHES:
            late = result.count_late_arrivals(_CRASHES)
            self.assertLessEqual(late, _MAX_LATE_ARRIVALS)
        share = result.get_served_share(min(_CRASHES, len(result.crashes)))
        self.assertGreaterEqual(share, _MIN_SERVED_SHARE)
