"""Tests of the simulated service, instance list and weight store."""

import asyncio
import hashlib

import testtools

from chicoryplank_standins.instances import InstanceList
from chicoryplank_standins.instances import (
    make_application as make_instance_application,
)
from chicoryplank_standins.service import Service, make_application
from chicoryplank_standins.tests.asgi import request, settle, start
from chicoryplank_standins.weights import WeightStore
from chicoryplank_standins.weights import (
    make_application as make_weight_application,
)


class TestService(testtools.TestCase):
    """Responses, execution records and injected faults."""

    def test_call_is_echoed_and_counted(self):
        """Guards against records that hide a second execution."""

        async def run():
            service = make_application(Service())
            headers = {"x-request-id": "r", "idempotency-key": "k"}
            for _ in range(2):
                call = await request(
                    service, "POST", "/quotes", {"n": 1}, headers=headers
                )
            records = await request(service, "GET", "/records")
            return call.json(), records.json()["records"]

        response, records = asyncio.run(run())
        digest = hashlib.sha256(b'{"n": 1}').hexdigest()
        self.assertEqual(digest, response["body_sha256"])
        self.assertEqual(1, len(records))
        self.assertEqual(
            (2, "k", digest),
            (
                records[0]["count"],
                records[0]["idempotency_key"],
                records[0]["body_sha256"],
            ),
        )

    def test_failed_call_does_not_run_and_aborted_call_does(self):
        """Guards against records that contradict the injected faults."""

        async def run():
            service = make_application(Service())
            faults = {"fail_next": 1, "cut_after_tokens": 0}
            await request(service, "POST", "/faults", faults)
            failed = await request(service, "POST", "/a", {})
            cut = await request(service, "POST", "/b", {})
            records = await request(service, "GET", "/records")
            paths = [item["path"] for item in records.json()["records"]]
            return failed.status, cut.aborted, paths

        self.assertEqual((500, True, ["/b"]), asyncio.run(run()))


class TestInstanceList(testtools.TestCase):
    """Lag of the visible list."""

    def test_changes_are_visible_after_the_lag(self):
        """Guards against changes that are visible without the lag."""
        now = 0.0
        instances = InstanceList(1.0, lambda: now)
        application = make_instance_application(instances)

        async def read():
            response = await request(application, "GET", "/instances")
            return [
                (item["instance"], item["leaving"])
                for item in response.json()["instances"]
            ]

        async def run():
            nonlocal now
            seen = []
            await request(application, "POST", "/instances", {"instance": "a"})
            seen.append(await read())
            now = 1.0
            seen.append(await read())
            await request(application, "POST", "/leave", {"instance": "a"})
            seen.append(await read())
            now = 2.0
            seen.append(await read())
            await request(application, "DELETE", "/instances/a")
            now = 3.0
            seen.append(await read())
            return seen

        expected = [
            [],
            [("a", False)],
            [("a", False)],
            [("a", True)],
            [],
        ]
        self.assertEqual(expected, asyncio.run(run()))


class TestWeightStore(testtools.TestCase):
    """Content size and reader limit of the weight store."""

    def test_readers_above_the_limit_are_rejected(self):
        """Guards against a store that accepts any number of readers."""

        async def run():
            application = make_weight_application(WeightStore(1.0, 1))
            first = start(application, "GET", "/weights/m?bytes=1000")
            await settle()
            second = await request(application, "GET", "/weights/m?bytes=1")
            first.disconnect()
            await first.task
            third = start(application, "GET", "/weights/m?bytes=1000")
            await settle()
            third.disconnect()
            await third.task
            return first.status, second.status, third.status

        self.assertEqual((200, 429, 200), asyncio.run(run()))

    def test_weights_have_the_requested_size(self):
        """Guards against a last chunk of the wrong size."""

        async def run():
            application = make_weight_application(WeightStore(1e12, 1))
            path = "/weights/m?bytes=100001"
            return len((await request(application, "GET", path)).body)

        self.assertEqual(100_001, asyncio.run(run()))
