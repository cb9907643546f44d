"""Tests of the choice of a deployment for a request."""

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
from chicoryplank_entry.requests import CallerRequest, RequestKind, choose_route

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


class TestChooseRoute(testtools.TestCase):
    """Grants, priorities and idempotency of a request."""

    def _choose_route(self, kind, target, **changes):
        return choose_route(
            _make_snapshot(), _make_request(kind, target, **changes)
        )

    def _assert_refused(self, code, *arguments, **changes):
        error = self.assertRaises(
            ChicoryplankError, self._choose_route, *arguments, **changes
        )
        self.assertEqual(code, error.code)

    def test_unknown_targets_are_refused(self):
        """Guards against access without a grant."""
        self._assert_refused(
            ErrorCode.UNKNOWN_ACCOUNT,
            RequestKind.MODEL,
            "drawing",
            token="guess",
        )
        self._assert_refused(
            ErrorCode.UNKNOWN_MODEL, RequestKind.MODEL, "other"
        )
        self._assert_refused(
            ErrorCode.UNKNOWN_MODEL, RequestKind.SERVICE, "bids"
        )

    def test_priority_is_limited_by_the_account(self):
        """Guards against a caller that raises its own priority."""
        route = self._choose_route(
            RequestKind.MODEL, "drawing", priority=Priority.URGENT
        )
        self.assertEqual(Priority.NORMAL, route.priority)
        route = self._choose_route(
            RequestKind.MODEL, "drawing", priority=Priority.BULK
        )
        self.assertEqual(Priority.BULK, route.priority)

    def test_non_idempotent_request_requires_a_key(self):
        """Guards against a quote sent twice for lack of a key."""
        self._assert_refused(
            ErrorCode.KEY_REQUIRED, RequestKind.SERVICE, "quotes"
        )
        route = self._choose_route(
            RequestKind.SERVICE, "quotes", idempotency_key="k"
        )
        self.assertFalse(route.repeatable)

    def test_case_and_encoding_do_not_make_a_request_idempotent(self):
        """Guards against retries of a path that differs only in case."""
        self._assert_refused(
            ErrorCode.KEY_REQUIRED,
            RequestKind.SERVICE,
            "quotes",
            path="/%53END/1",
            decoded_path="/SEND/1",
        )

    def test_read_requests_are_idempotent(self):
        """Guards against claiming an idempotency key for each read request."""
        route = self._choose_route(RequestKind.SERVICE, "quotes", method="GET")
        self.assertTrue(route.repeatable)
