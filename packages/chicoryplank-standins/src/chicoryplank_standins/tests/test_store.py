"""Tests of the simulated key-value store."""

import asyncio
import base64
import json

import testtools

from chicoryplank_standins.store import SimulatedStore, make_application
from chicoryplank_standins.tests.asgi import request, settle, start


def encode(text):
    """Encodes a text in base64."""
    return base64.b64encode(text.encode()).decode()


def make_swap(key, value, revision, lease=0):
    """Creates a compare-and-swap transaction on the revision of a key."""
    put = {"key": encode(key), "value": encode(value), "lease": str(lease)}
    compare = {
        "key": encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }
    return {"compare": [compare], "success": [{"request_put": put}]}


class TestSimulatedStore(testtools.TestCase):
    """Compare-and-swap, leases, watches, call budget and faults."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.store = SimulatedStore(elapsed=lambda: self.now)
        self.application = make_application(self.store)

    async def post(self, path, body):
        return await request(self.application, "POST", path, body)

    def test_swap_needs_the_current_revision(self):
        """Guards against two writers that both succeed at one revision."""

        async def run():
            path = "/v3/kv/txn"
            first = await self.post(path, make_swap("a", "1", 0))
            second = await self.post(path, make_swap("a", "2", 0))
            read = await self.post("/v3/kv/range", {"key": encode("a")})
            revision = read.json()["kvs"][0]["mod_revision"]
            third = await self.post(path, make_swap("a", "3", revision))
            return [call.json().get("succeeded") for call in (first, second)], (
                third.json()
            )

        succeeded, third = asyncio.run(run())
        self.assertEqual([True, None], succeeded)
        self.assertEqual("3", third["header"]["revision"])

    def test_prefix_range_is_sorted_and_bounded(self):
        """Guards against a range that includes keys of another prefix."""

        async def run():
            for key in ("a/2", "b/1", "a/1"):
                await self.post("/v3/kv/txn", make_swap(key, "x", 0))
            fields = {"key": encode("a/"), "range_end": encode("a0")}
            return (await self.post("/v3/kv/range", fields)).json()["kvs"]

        keys = [item["key"] for item in asyncio.run(run())]
        self.assertEqual([encode("a/1"), encode("a/2")], keys)

    def test_expired_lease_deletes_its_key(self):
        """Guards against a lease that stays valid without being renewed."""

        async def run():
            grant = await self.post("/v3/lease/grant", {"TTL": "3"})
            lease = grant.json()["ID"]
            await self.post("/v3/kv/txn", make_swap("a", "1", 0, lease))
            self.now = 2.0
            renewed = await self.post("/v3/lease/keepalive", {"ID": lease})
            self.now = 5.5
            read = await self.post("/v3/kv/range", {"key": encode("a")})
            renewed_after_expiry = await self.post(
                "/v3/lease/keepalive", {"ID": lease}
            )
            put = await self.post("/v3/kv/txn", make_swap("a", "1", 0, lease))
            return (
                renewed.json(),
                read.json(),
                renewed_after_expiry.json(),
                put.status,
            )

        renewed, read, renewed_after_expiry, status = asyncio.run(run())
        self.assertEqual("3", renewed["result"]["TTL"])
        self.assertNotIn("kvs", read)
        self.assertNotIn("TTL", renewed_after_expiry["result"])
        self.assertEqual(404, status)

    def test_watch_starts_at_the_requested_revision(self):
        """Guards against a watch that misses changes before its creation."""

        async def run():
            await self.post("/v3/kv/txn", make_swap("a", "1", 0))
            create = {"key": encode("a"), "start_revision": "2"}
            watch = start(
                self.application,
                "POST",
                "/v3/watch",
                {"create_request": create},
            )
            await settle()
            await self.post("/v3/kv/txn", make_swap("b", "1", 0))
            await self.post("/v3/kv/deleterange", {"key": encode("a")})
            await settle()
            pending = self.store.pending_watches
            watch.disconnect()
            await watch.task
            lines = [json.loads(line) for line in watch.body.splitlines()]
            return lines, pending, self.store.pending_watches

        lines, pending, after = asyncio.run(run())
        self.assertTrue(lines[0]["result"]["created"])
        kinds = [line["result"]["events"][0]["type"] for line in lines[1:]]
        self.assertEqual(["PUT", "DELETE"], kinds)
        self.assertEqual((1, 0), (pending, after))

    def test_write_with_lost_response_takes_effect(self):
        """Guards against a lost response whose write was not applied."""

        async def run():
            await self.post("/faults", {"lose_answers": 1})
            lost = await self.post("/v3/kv/txn", make_swap("a", "1", 0))
            read = await self.post("/v3/kv/range", {"key": encode("a")})
            return lost.aborted, read.json()["count"]

        self.assertEqual((True, "1"), asyncio.run(run()))

    def test_calls_during_outage_have_no_effect(self):
        """Guards against an outage during which writes are applied."""

        async def run():
            await self.post("/faults", {"down": True, "mode": "refuse"})
            refused = await self.post("/v3/kv/txn", make_swap("a", "1", 0))
            await self.post("/faults", {"mode": "hang"})
            hanging = start(
                self.application, "POST", "/v3/kv/txn", make_swap("a", "1", 0)
            )
            await settle()
            silent = hanging.status
            hanging.disconnect()
            await hanging.task
            return refused.status, silent, self.store.state.revision

        self.assertEqual((503, 0, 1), asyncio.run(run()))

    def test_calls_over_the_budget_are_rejected(self):
        """Guards against a budget that counts calls but does not limit them."""
        self.store = SimulatedStore(budget=2, elapsed=lambda: self.now)
        self.application = make_application(self.store)

        async def run():
            codes = []
            for _ in range(3):
                call = await self.post("/v3/kv/range", {"key": encode("a")})
                codes.append(call.status)
            calls = await request(self.application, "GET", "/calls")
            return codes, calls.json()["calls"]

        self.assertEqual(([200, 200, 503], {"range": 3}), asyncio.run(run()))
