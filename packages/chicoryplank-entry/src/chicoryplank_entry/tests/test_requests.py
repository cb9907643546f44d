"""Tests of the routes of requests."""

import hashlib
from datetime import timedelta

import testtools

from chicoryplank.configuration import (
    AccountConfiguration,
    GroupConfiguration,
    Priority,
    ServiceConfiguration,
    Snapshot,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import (
    AccountId,
    ConfigVersion,
    ModelGroupId,
    ServiceId,
)
from chicoryplank_entry.requests import CallerRequest, Kind, find_route

_GROUP = ModelGroupId("toolroom-llm")
_SERVICE = ServiceId("quotes")


def _make_snapshot():
    account = AccountConfiguration(
        hashlib.sha256(b"secret").hexdigest(),
        10,
        1000,
        Priority.NORMAL,
        frozenset({_GROUP}),
        frozenset({_SERVICE}),
    )
    return Snapshot(
        ConfigVersion(1),
        {AccountId("estimating"): account},
        {_GROUP: GroupConfiguration(("drawing",), "v1", 1, 1000.0)},
        {_SERVICE: ServiceConfiguration("quotes", ("/send",))},
    )


def _make_request(kind, target, **changes):
    values = {
        "token": "secret",
        "method": "POST",
        "path": "/send",
        "headers": (),
        "body": b"",
        "stream": False,
        "priority": None,
        "timeout": timedelta(seconds=1),
        "decoded_path": "/send",
    }
    return CallerRequest(kind, target, **(values | changes))


class TestFindRoute(testtools.TestCase):
    """Grants, priorities and idempotency of a request."""

    def _find(self, kind, target, **changes):
        return find_route(
            _make_snapshot(), _make_request(kind, target, **changes)
        )

    def _assert_rejected(self, code, *arguments, **changes):
        error = self.assertRaises(
            ChicoryplankError, self._find, *arguments, **changes
        )
        self.assertEqual(code, error.code)

    def test_unknown_names_are_rejected(self):
        """Guards against access without a grant."""
        self._assert_rejected(
            ErrorCode.UNKNOWN_ACCOUNT, Kind.MODEL, "drawing", token="guess"
        )
        self._assert_rejected(ErrorCode.UNKNOWN_MODEL, Kind.MODEL, "other")
        self._assert_rejected(ErrorCode.UNKNOWN_MODEL, Kind.SERVICE, "bids")

    def test_priority_is_bounded_by_the_account(self):
        """Guards against bulk work that calls itself urgent."""
        route = self._find(Kind.MODEL, "drawing", priority=Priority.URGENT)
        self.assertEqual(Priority.NORMAL, route.priority)
        route = self._find(Kind.MODEL, "drawing", priority=Priority.BULK)
        self.assertEqual(Priority.BULK, route.priority)

    def test_non_idempotent_call_needs_a_key(self):
        """Guards against a quote that is sent twice without a key."""
        self._assert_rejected(ErrorCode.KEY_REQUIRED, Kind.SERVICE, "quotes")
        route = self._find(Kind.SERVICE, "quotes", idempotency_key="k")
        self.assertFalse(route.repeatable)

    def test_spelling_does_not_make_a_call_idempotent(self):
        """Guards against a retry because a path was written in capitals."""
        self._assert_rejected(
            ErrorCode.KEY_REQUIRED,
            Kind.SERVICE,
            "quotes",
            path="/%53END/1",
            decoded_path="/SEND/1",
        )

    def test_reads_are_repeatable(self):
        """Guards against a claim for each read."""
        route = self._find(Kind.SERVICE, "quotes", method="GET")
        self.assertTrue(route.repeatable)
