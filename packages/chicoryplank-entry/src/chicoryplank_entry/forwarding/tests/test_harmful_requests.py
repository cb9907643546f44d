"""Tests of a request that crashes each replica that runs it, and comes again.

Load pattern: callers keep sending the same request, with the same path, account
and body, among sound ones that share its account, and its path or its body.
"""

import asyncio

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harmful_load import send_load

_MAX_LATE_ARRIVALS = 3
_MIN_SERVED_SHARE = 0.5
_CRASHES = 3
_PATH = "/history/7"
_BODY = b'{"mould": 7}'


def make_fields(number):
    """Returns a request, every fifth of them the harmful one."""
    harmful = number % 5 == 2
    fields = {"method": "POST", "target": _PATH, "body": _BODY}
    if not harmful and number % 2:
        fields["target"] = f"/history/{number % 40}/x"
    elif not harmful:
        fields["body"] = b'{"mould": 8}'
    return fields, harmful


def is_harmful(recorded):
    """Returns whether a replica got the harmful request."""
    return recorded.target == _PATH and recorded.body == _BODY


class TestHarmfulRequest(testtools.TestCase):
    """One request crashes each replica that runs it."""

    def check(self, kind, begins):
        result = asyncio.run(
            send_load(
                is_harmful,
                make_fields,
                replica_count=3,
                kind=kind,
                begins=begins,
            )
        )
        self.assertGreaterEqual(len(result.crashes), _CRASHES)
        late = result.count_late_arrivals(_CRASHES)
        self.assertLessEqual(late, _MAX_LATE_ARRIVALS)
        share = result.get_served_share(_CRASHES)
        self.assertGreaterEqual(share, _MIN_SERVED_SHARE)

    def test_idempotent_request_that_comes_again_and_again(self):
        """Guards against sending a harmful request after three crashes."""
        self.check(RequestKind.IDEMPOTENT, begins=False)

    def test_non_idempotent_request_that_comes_again_and_again(self):
        """Guards against counting only requests that entries retry."""
        self.check(RequestKind.NON_IDEMPOTENT, begins=True)
