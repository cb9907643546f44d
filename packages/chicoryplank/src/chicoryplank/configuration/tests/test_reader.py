"""Tests of SnapshotReader."""

import asyncio
import json

import testtools

from chicoryplank.clock import ManualClock
from chicoryplank.configuration import (
    ROOT_KEY,
    MissingPartsError,
    SnapshotReader,
)
from chicoryplank.configuration._parts import decode_part
from chicoryplank.configuration.tests.samples import (
    confirm_intent,
    make_first_intent,
    make_limit_intent,
)
from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.fakes import MemoryStore


async def make_store(accounts=3):
    """Returns a store with version 1."""
    store = MemoryStore(ManualClock())
    await confirm_intent(store, make_first_intent(accounts))
    return store


async def make_reader(store):
    """Returns a reader that holds the active version."""
    reader = SnapshotReader()
    await reader.refresh(store)
    return reader


class TestSnapshotReader(testtools.TestCase):
    """Reading from the store and from peers."""

    def test_reads_only_changed_parts(self):
        """Guards against reads that grow with the number of accounts."""

        async def run():
            store = await make_store(accounts=200)
            reader = await make_reader(store)
            await confirm_intent(store, make_limit_intent("account-7", 9))
            before = store.calls
            changed = await reader.refresh(store)
            return changed, store.calls - before, reader.snapshot

        changed, calls, snapshot = asyncio.run(run())
        self.assertTrue(changed)
        self.assertEqual(2, calls)
        self.assertEqual(9, snapshot.accounts["account-7"].tokens_per_s)
        self.assertEqual(200, len(snapshot.accounts))

    def test_never_goes_back(self):
        """Guards against a delayed root or a stale peer reverting a change."""

        async def run():
            store = await make_store()
            old = await store.read(ROOT_KEY)
            stale = await make_reader(store)
            await confirm_intent(store, make_limit_intent("account-0", 9))
            reader = await make_reader(store)
            export = stale.export_parts(())
            results = [
                await reader.apply_root(store, old.value),
                reader.import_parts(export.root, export.parts),
            ]
            newer = await store.read(ROOT_KEY)
            await store.delete(ROOT_KEY, newer.revision)
            results.append(await reader.refresh(store))
            return results, reader.snapshot

        results, snapshot = asyncio.run(run())
        self.assertEqual([False] * 3, results)
        self.assertEqual(2, snapshot.version)
        self.assertEqual(9, snapshot.accounts["account-0"].tokens_per_s)

    def test_slow_read_does_not_overwrite_a_newer_version(self):
        """Guards against a slow read replacing a version imported meanwhile."""

        async def run():
            store = await make_store()
            slow = SnapshotReader()
            original = store.read

            async def read_late(key):
                record = await original(key)
                if key != ROOT_KEY and slow.root.version == 0:
                    store.read = original
                    await confirm_intent(
                        store, make_limit_intent("account-0", 9)
                    )
                    export = (await make_reader(store)).export_parts(())
                    slow.import_parts(export.root, export.parts)
                return record

            store.read = read_late
            changed = await slow.refresh(store)
            return changed, slow.snapshot.version

        self.assertEqual((False, 2), asyncio.run(run()))

    def test_peers_exchange_only_missing_parts(self):
        """Guards against the transfer of unchanged parts."""

        async def run():
            store = await make_store(accounts=200)
            peer = await make_reader(store)
            await confirm_intent(store, make_limit_intent("account-7", 9))
            return peer, await make_reader(store)

        peer, reader = asyncio.run(run())
        export = reader.export_parts(peer.get_part_digests())
        self.assertEqual(1, len(export.parts))
        self.assertTrue(peer.import_parts(export.root, export.parts))
        self.assertEqual(reader.snapshot, peer.snapshot)
        self.assertEqual(reader.export_parts(()), peer.export_parts(()))

    def test_altered_parts_are_not_applied(self):
        """Guards against a peer that sends damaged or incomplete parts."""
        reader = asyncio.run(self._make_reader())
        export = reader.export_parts(())
        altered = [part.replace(b"100.0", b"999.0") for part in export.parts]
        peer = SnapshotReader()
        error = self.assertRaises(
            MissingPartsError, peer.import_parts, export.root, altered
        )
        self.assertEqual(1, len(error.missing))
        for root in (b"{}", b"", b"[" * 100_000):
            self.assertRaises(
                ChicoryplankError, peer.import_parts, root, export.parts
            )
        self.assertEqual(0, peer.snapshot.version)

    async def _make_reader(self):
        return await make_reader(await make_store())

    def test_altered_store_is_reported(self):
        """Guards against using a part that was overwritten in the store."""

        async def run():
            store = await make_store()
            for record in await store.read_prefix("config/part/"):
                value = record.value.replace(b"100.0", b"999.0")
                await store.swap(record.key, value, record.revision)
            await SnapshotReader().refresh(store)

        error = self.assertRaises(ChicoryplankError, asyncio.run, run())
        self.assertEqual(ErrorCode.INVALID_CONFIGURATION, error.code)

    def test_two_contents_of_one_version(self):
        """Guards against undetected different contents of the same version."""
        reader = asyncio.run(self._make_reader())
        other = asyncio.run(make_store(accounts=4))
        peer = asyncio.run(make_reader(other))
        export = peer.export_parts(())
        error = self.assertRaises(
            ChicoryplankError, reader.import_parts, export.root, export.parts
        )
        self.assertEqual(ErrorCode.INVARIANT_VIOLATED, error.code)

    def test_newer_fields_are_ignored(self):
        """Guards against older releases failing during a rolling upgrade."""
        document = {
            "groups": {
                "llm": {
                    "models": ["m"],
                    "version": "v1",
                    "replicas": 3,
                    "tokens_per_s": 10,
                    "field_of_a_newer_release": 1,
                }
            }
        }
        content = decode_part("groups/llm", json.dumps(document).encode())
        self.assertEqual(3, content.groups["llm"].replicas)
