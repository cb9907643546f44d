"""Tests of route lookup and the choice of services."""

import random
from datetime import timedelta

import testtools

from chicoryplank.ids import ConfigVersion
from chicoryplank.traffic import (
    RequestKind,
    Route,
    RouteIndex,
    Share,
    TrafficConfiguration,
    choose_service,
)


def _make_route(name, prefix, shares=(("llm", 1.0),), **fields):
    return Route(
        name,
        fields.pop("host", "shop.example"),
        prefix,
        fields.pop("kind", RequestKind.IDEMPOTENT),
        tuple(Share(*share) for share in shares),
        timedelta(seconds=1),
        timedelta(seconds=1),
        **fields,
    )


class TestRouteIndex(testtools.TestCase):
    """Tests of the longest-prefix match within a host."""

    def _find(self, host, path):
        routes = (
            _make_route("all", "/"),
            _make_route("notes", "/notes/"),
            _make_route("old", "/notes/old/"),
            _make_route("other", "/cards/", host="other.example"),
        )
        index = RouteIndex(TrafficConfiguration(ConfigVersion(1), routes, {}))
        route = index.find(host, path)
        return None if route is None else route.name

    def test_longest_prefix_wins(self):
        """Guards against forwarding requests to a less specific route."""
        self.assertEqual("old", self._find("shop.example", "/notes/old/1"))
        self.assertEqual("notes", self._find("shop.example", "/notes/1"))

    def test_prefix_ends_at_a_slash(self):
        """Guards against a route that matches a path segment only in part."""
        self.assertEqual("all", self._find("shop.example", "/notes2/1"))

    def test_query_is_not_part_of_the_path(self):
        """Guards against a slash in the query that selects a route."""
        self.assertEqual("all", self._find("shop.example", "/x?a=/notes/"))

    def test_host_must_match(self):
        """Guards against using the routes of a different host."""
        self.assertIsNone(self._find("other.example", "/notes/1"))
        self.assertEqual("other", self._find("OTHER.example:8080", "/cards/1"))
        self.assertIsNone(self._find("unknown.example", "/"))


class TestChooseService(testtools.TestCase):
    """Tests of the weighted choice of a service."""

    def test_shares_follow_the_weights(self):
        """Guards against a choice that ignores the weights."""
        route = _make_route("r", "/", (("a", 90.0), ("b", 10.0)))
        rng = random.Random(1)
        drawn = [choose_service(route, rng) for _ in range(2000)]
        self.assertTrue(100 < drawn.count("b") < 300, drawn.count("b"))


class TestRoute(testtools.TestCase):
    """Tests which requests may be executed again."""

    def test_stream_is_repeatable_only_if_resumable(self):
        """Guards against executing a stream twice if the route forbids it."""
        kind = RequestKind.STREAMING
        self.assertFalse(_make_route("r", "/", kind=kind).repeatable)
        resumable = _make_route("r", "/", kind=kind, resumable=True)
        self.assertTrue(resumable.repeatable)

    def test_non_idempotent_request_is_never_repeatable(self):
        """Guards against executing a non-idempotent request twice."""
        route = _make_route(
            "r", "/", kind=RequestKind.NON_IDEMPOTENT, resumable=True
        )
        self.assertFalse(route.repeatable)
