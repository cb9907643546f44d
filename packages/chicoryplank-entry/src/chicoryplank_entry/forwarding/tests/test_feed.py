"""Tests of the distribution of store changes from one entry to others."""

import asyncio
import json
import zlib

import testtools

from chicoryplank.store import StoreError
from chicoryplank.traffic import ClientLimits
from chicoryplank.verdict import Verdict
from chicoryplank_entry.forwarding import feed as feed_module
from chicoryplank_entry.forwarding.feed import FeedServer, FeedSource
from chicoryplank_entry.forwarding.views import Change, HistoryGoneError
from chicoryplank_wire.server_connection import CallerConnection, ListenerHooks


class _Store:
    """Unavailable store that counts calls for changes."""

    def __init__(self):
        self.wait_calls = 0

    async def read_all(self):
        return [], 10

    async def wait_changes(self, after):
        self.wait_calls += 1
        raise StoreError("away", Verdict.NOT_RUN)

    async def read_changes(self, after):
        return await self.wait_changes(after)


class TestFeed(testtools.TestCase):
    """Changes arrive once and in order, or are read from the store."""

    def _run(self, work):
        async def run():
            loop = asyncio.get_running_loop()
            self.current = True
            feed = FeedServer(lambda: self.current)
            feed.replace([Change("a", b"1", 10)], 10)
            hooks = ListenerHooks(
                feed.handle, ClientLimits, loop.time, lambda: False, set()
            )
            server = await loop.create_server(
                lambda: CallerConnection(hooks), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            store = _Store()
            source = FeedSource(store, lambda: f"127.0.0.1:{port}", loop.time)
            try:
                return await work(feed, source, store)
            finally:
                server.close()

        return asyncio.run(run())

    def test_change_is_delivered_at_once(self):
        """Guards against changes that arrive late or altered."""

        async def work(feed, source, store):
            waiting = asyncio.create_task(source.wait_changes(10))
            await asyncio.sleep(0.05)
            feed.append([Change("a", b"\x00\xff", 11)], 11)
            feed.append([Change("a", None, 12)], 12)
            changes, revision = await asyncio.wait_for(waiting, 0.3)
            later_changes, newest = await source.wait_changes(revision)
            return [*changes, *later_changes], newest, store.wait_calls

        changes, newest, wait_calls = self._run(work)
        self.assertEqual(
            [Change("a", b"\x00\xff", 11), Change("a", None, 12)], changes
        )
        self.assertEqual((12, 0), (newest, wait_calls))

    def test_large_configuration_takes_little_bandwidth(self):
        """Guards against a feed that fills the link of the entry it comes from.

        A configuration of 1,400 routes that 13 entries of a zone read must not
        occupy a link of 20 Mbit/s for longer than a lease lasts (1 s).
        """
        routes = [
            {
                "name": f"r-{number}",
                "hostname": f"host-{number % 97}.example",
                "path-prefix": f"/prefix-{number * 7919 % 10007}/",
                "service": "model",
                "kind": "streaming",
                "timeout-ms": 8000,
                "target-latency-ms": 400,
                "max-attempts": 2,
            }
            for number in range(1400)
        ]
        value = json.dumps({"version": 7, "routes": routes}).encode()

        async def work(feed, source, store):
            sent = []
            waiting = asyncio.create_task(source.wait_changes(10))
            await asyncio.sleep(0.05)
            feed.append([Change("op/config", value, 11)], 11)
            changes, _ = await waiting
            sent.extend(map(len, feed._compressed.values()))
            return changes, sent

        changes, sent = self._run(work)
        self.assertEqual([Change("op/config", value, 11)], changes)
        self.assertLess(13 * sum(sent), 20e6 / 8)

    def test_plain_response_is_read(self):
        """Guards against an entry that can't read one of an earlier version."""
        change = Change("a", b"\x00\xff", 11, 3)
        document = {"changes": [["a", "AP8=", 11, 3]], "revision": 11}
        text = feed_module._decompress(json.dumps(document).encode())
        item = json.loads(text)["changes"][0]
        self.assertEqual(change, feed_module._decode_change(item))

    def test_malformed_response_is_an_error(self):
        """Guards against a truncated response that is taken as complete."""
        content = zlib.compress(b"{}" * 100)
        for malformed in (content[:-3], b"\xff" + content, b""):
            with self.assertRaises(ValueError):
                feed_module._decompress(malformed)

    def test_no_change_is_reported_as_such(self):
        """Guards against calls to the store while nothing changes."""

        async def work(feed, source, store):
            return await source.wait_changes(10), store.wait_calls

        self.assertEqual((([], 10), 0), self._run(work))

    def test_lost_history_is_reported(self):
        """Guards against changes that are skipped silently."""

        async def work(feed, source, store):
            try:
                await source.wait_changes(5)
            except HistoryGoneError:
                return True
            return False

        self.assertTrue(self._run(work))

    def test_source_without_store_is_not_used(self):
        """Guards against a stale configuration although the store responds."""

        async def work(feed, source, store):
            waiting = asyncio.create_task(source.wait_changes(10))
            await asyncio.sleep(0.05)
            self.current = False
            feed.notify()
            try:
                await waiting
            except StoreError:
                return store.wait_calls
            return 0

        self.assertEqual(1, self._run(work))

    def test_dead_source_is_no_sign_of_a_lost_store(self):
        """Guards against taking a dead entry and a cut watch for an outage."""

        class Store:
            async def read_changes(self, after):
                return [], 12

        async def run():
            loop = asyncio.get_running_loop()
            source = FeedSource(Store(), lambda: "127.0.0.1:1", loop.time)
            return await source.wait_changes(10)

        self.assertEqual(([], 12), asyncio.run(run()))

    def test_dead_source_is_skipped(self):
        """Guards against an entry that keeps waiting for a dead source."""

        async def run():
            loop = asyncio.get_running_loop()
            store = _Store()
            source = FeedSource(store, lambda: "127.0.0.1:1", loop.time)
            for _ in range(3):
                try:
                    await source.wait_changes(10)
                except StoreError:
                    continue
            return store.wait_calls

        self.assertEqual(3, asyncio.run(run()))
