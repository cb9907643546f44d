"""Tests of the simulated engine; each test triggers its steps itself."""

import asyncio
import hashlib
import json

import testtools

from chicoryplank_standins._engine import (
    DETACHED_TIMEOUT_S,
    RUN_RETENTION_S,
    Engine,
    EngineOptions,
)
from chicoryplank_standins._ranks import LOAD_INTERVAL_STEPS, ExpertLoads
from chicoryplank_standins.engine import make_application
from chicoryplank_standins.tests.asgi import request, settle, start
from chicoryplank_standins.tokens import expected_tokens, hash_prefix_blocks

PATH = "/v1/completions"


def read_events(body):
    """Returns the event ids, the text and whether `[DONE]` was sent."""
    event_ids, text = [], ""
    for event in body.decode().split("\n\n"):
        if not event.startswith("id: "):
            continue
        first, second = event.split("\n", 1)
        event_ids.append(int(first.removeprefix("id: ")))
        text += json.loads(second.removeprefix("data: "))["choices"][0]["text"]
    return event_ids, text, body.endswith(b"data: [DONE]\n\n")


class EngineTestCase(testtools.TestCase):
    """Base class with an engine whose clock and steps the test controls."""

    def make_engine(self, **options):
        self.now = 0.0
        self.engine = Engine(EngineOptions(**options), elapsed=lambda: self.now)
        self.application = make_application(self.engine)

    def complete(self, request_id, tokens=3, stream=True, priority="1"):
        body = {
            "model": "model",
            "prompt": f"prompt of {request_id}",
            "max_tokens": tokens,
            "stream": stream,
        }
        headers = {"x-request-id": request_id, "x-priority": priority}
        return start(self.application, "POST", PATH, body, headers)

    async def step(self, count=1):
        for _ in range(count):
            await settle()
            self.engine.begin_step()
            self.engine.end_step()
        await settle()

    async def order(self, kind, token, order_id=None, **arguments):
        order = {
            "order_id": order_id or f"{kind}-{token}-{arguments}",
            "fencing_token": token,
            "kind": kind,
            "arguments": arguments,
        }
        return await request(self.application, "POST", "/orders", order)


class TestCompletions(EngineTestCase):
    """Complete and streamed responses, queueing, records and prefix cache."""

    def test_responses_contain_expected_tokens(self):
        """Guards against a response that a client cannot verify."""
        self.make_engine()

        async def run():
            complete_call = self.complete("a", stream=False)
            stream = self.complete("b")
            await self.step(3)
            await asyncio.gather(complete_call.task, stream.task)
            return complete_call.json()["choices"][0]["text"], stream.body

        text, body = asyncio.run(run())
        expected = "".join(expected_tokens("model", "prompt of a", 3))
        self.assertEqual(expected, text)
        expected = "".join(expected_tokens("model", "prompt of b", 3))
        self.assertEqual(([1, 2, 3, 4], expected, True), read_events(body))

    def test_response_to_run_that_ends_before_the_wait(self):
        """Guards against a handler that misses the end of a short run.

        The handler would wait forever if the run ended before the wait began.
        """
        self.make_engine()

        async def run():
            finished = []
            for iterations in range(20):
                call = self.complete(f"a{iterations}", 1, stream=False)
                for _ in range(iterations):
                    await asyncio.sleep(0)
                # No other task runs between these two calls.
                self.engine.begin_step()
                self.engine.end_step()
                await self.step(2)
                finished.append(call.task.done())
                call.disconnect()
                await call.task
            return finished

        self.assertEqual([True] * 20, asyncio.run(run()))

    def test_queue_is_ordered_by_priority(self):
        """Guards against a queue that ignores the priority of a request."""
        self.make_engine(max_batch=1)

        async def run():
            calls = []
            for name, priority in (("a", "1"), ("b", "2"), ("c", "0")):
                calls.append(self.complete(name, 1, priority=priority))
                await settle()
            await self.step(3)
            await asyncio.gather(*(call.task for call in calls))
            return self.engine.records.to_json()

        records = asyncio.run(run())
        order = [record["request_id"] for record in records]
        self.assertEqual(["c", "a", "b"], order)

    def test_records_count_each_execution(self):
        """Guards against records that hide a second execution."""
        self.make_engine()

        async def run():
            for _ in range(2):
                call = self.complete("a", 1)
                await self.step()
                await call.task
            return (await request(self.application, "GET", "/records")).json()

        records = asyncio.run(run())["records"]
        self.assertEqual([2], [record["count"] for record in records])
        self.assertEqual(
            ("v1", ["initial"]), (records[0]["version"], records[0]["maps"])
        )
        body = json.dumps(
            {
                "model": "model",
                "prompt": "prompt of a",
                "max_tokens": 1,
                "stream": True,
            }
        )
        digest = hashlib.sha256(body.encode()).hexdigest()
        self.assertEqual(digest, records[0]["body_sha256"])

    def test_cached_prefix_skips_prefill_and_publishes_events(self):
        """Guards against a cache that skips no prefill or emits no events."""
        self.make_engine(prefill_blocks_per_step=1, event_lag_ms=1_000)
        prompt = "x" * 200
        body = {"model": "model", "prompt": prompt, "max_tokens": 1}

        async def run():
            counts = []
            for _ in range(2):
                call = start(self.application, "POST", PATH, body)
                await settle()
                count = 0
                while not call.task.done():
                    await self.step()
                    count += 1
                counts.append(count)
            early = await request(self.application, "GET", "/cache-events")
            self.now = 1.0
            late = await request(self.application, "GET", "/cache-events")
            return counts, early.json()["events"], late.json()["events"]

        counts, early, late = asyncio.run(run())
        self.assertEqual(([4, 1], []), (counts, early))
        blocks = tuple(event["block"] for event in late)
        self.assertEqual(hash_prefix_blocks(prompt), blocks)


class TestStreams(EngineTestCase):
    """Resumption, cancellation and expiry of interrupted streams."""

    def test_stream_resumes_after_the_last_event(self):
        """Guards against tokens that are lost or duplicated at a resumption."""
        self.make_engine()

        async def run():
            self.engine.faults.update({"cut_after_tokens": 2})
            interrupted = self.complete("a", 5)
            await self.step(3)
            await interrupted.task
            resumed = start(
                self.application,
                "GET",
                "/v1/streams/a",
                headers={"last-event-id": "2"},
            )
            await self.step(2)
            await resumed.task
            return interrupted, resumed.body

        interrupted, body = asyncio.run(run())
        self.assertTrue(interrupted.aborted)
        first = read_events(interrupted.body)
        second = read_events(body)
        self.assertEqual(([1, 2], False), (first[0], first[2]))
        self.assertEqual(([3, 4, 5, 6], True), (second[0], second[2]))
        expected = "".join(expected_tokens("model", "prompt of a", 5))
        self.assertEqual(expected, first[1] + second[1])

    def test_unread_run_is_cancelled_and_later_discarded(self):
        """Guards against runs that occupy the batch without a reader."""
        self.make_engine()

        async def run():
            call = self.complete("a", 1_000)
            await self.step(2)
            call.disconnect()
            await call.task
            states = []
            for self.now in (DETACHED_TIMEOUT_S - 1, DETACHED_TIMEOUT_S):
                self.engine.expire_runs()
                states.append(self.engine.get_run("a").state.value)
            self.now = RUN_RETENTION_S
            self.engine.expire_runs()
            return states, self.engine.get_run("a")

        expected = (["running", "cancelled"], None)
        self.assertEqual(expected, asyncio.run(run()))

    def test_delete_cancels_a_stream(self):
        """Guards against a cancelled stream that ends like a complete one."""
        self.make_engine()

        async def run():
            call = self.complete("a", 100)
            await self.step(2)
            await request(self.application, "DELETE", "/v1/streams/a")
            await call.task
            return call.body, self.engine.read_load()["running"]

        body, running = asyncio.run(run())
        self.assertIn(b'"cancelled"', body)
        self.assertEqual((False, 0), (read_events(body)[2], running))


class TestOrders(EngineTestCase):
    """Fencing tokens, idempotent orders and expert maps."""

    def test_fencing_is_checked_only_if_enabled(self):
        """Guards against simulating only one of the two kinds of engines.

        Some engines reject stale fencing tokens and others accept them.
        """

        async def run():
            codes = []
            for token in (5, 4):
                call = await self.order("set_version", token, version="v2")
                codes.append(call.status)
            return codes

        self.make_engine(checks_fencing=True)
        self.assertEqual([200, 409], asyncio.run(run()))
        self.make_engine(checks_fencing=False)
        self.assertEqual([200, 200], asyncio.run(run()))

    def test_order_takes_effect_once(self):
        """Guards against a resent order that reverts a later one."""
        self.make_engine()

        async def run():
            await self.order("set_version", 1, "one", version="v2")
            await self.order("set_version", 1, "two", version="v3")
            await self.order("set_version", 1, "one", version="v2")
            return self.engine.version

        self.assertEqual("v3", asyncio.run(run()))

    def test_prepared_rank_awaits_the_decision(self):
        """Guards against steps in which ranks use different expert maps."""
        self.make_engine(ranks=2)

        async def run():
            await self.order("prepare_map", 1, digest="b", stop_step=2)
            await self.step(5)
            waiting_step = self.engine.ranks.step
            await self.order("decide_map", 1, digest="b", first_step=3)
            await self.step(3)
            return waiting_step, self.engine.ranks

        waiting_step, ranks = asyncio.run(run())
        segments = ranks.read_segments()
        digests = [segment["digests"] for segment in segments]
        self.assertEqual((2, 0), (waiting_step, ranks.mixed_steps))
        self.assertEqual([["initial"] * 2, ["b"] * 2], digests)
        self.assertEqual(3, segments[1]["first_step"])

    def test_step_with_different_maps_is_recorded(self):
        """Guards against records that hide a step with different maps."""
        self.make_engine(ranks=2)

        async def run():
            await self.order("prepare_map", 1, digest="b", stop_step=0, rank=1)
            await self.order("decide_map", 1, digest="b", first_step=0, rank=1)
            await self.step()
            abort = await self.order("abort_map", 1, digest="b")
            return self.engine.ranks.mixed_steps, abort.status

        self.assertEqual((1, 200), asyncio.run(run()))

    def test_ranks_of_a_group_run_no_step_before_they_join(self):
        """Guards against a replaced engine that runs steps with an old map."""
        self.make_engine(members=2, leader="127.0.0.1:1")

        async def run():
            call = await self.order("prepare_map", 1, digest="b", stop_step=9)
            await self.step(2)
            before = self.engine.ranks.step
            await self.order(
                "join_map", 1, digest="a", step=5, next_digest="b", first_step=6
            )
            await self.step(2)
            return call.status, before

        status, before = asyncio.run(run())
        self.assertEqual((409, 0), (status, before))
        digests = [
            segment["digests"] for segment in self.engine.ranks.read_segments()
        ]
        self.assertEqual([["a"], ["b"]], digests)

    def test_expert_loads_have_one_count_per_expert(self):
        """Guards against a failure of /expert-loads without experts."""
        for experts in (0, 1, 8):
            self.make_engine(experts=experts)
            call = asyncio.run(
                request(self.application, "GET", "/expert-loads")
            )
            self.assertEqual(experts, len(call.json()["counts"]))


class TestExpertLoads(testtools.TestCase):
    """Token counts per expert."""

    def test_loads_of_fewer_than_two_experts(self):
        """Guards against an exchange of popularity between too few experts."""
        step = 10_000 * LOAD_INTERVAL_STEPS
        counts = [len(ExpertLoads(n, 0).get_counts(step)) for n in (0, 1, 2)]
        self.assertEqual([0, 1, 2], counts)
