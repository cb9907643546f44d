"""Tests of the engine stand-in; the steps are run by hand."""

import asyncio
import hashlib
import json

import testtools

from chicoryplank_standins._engine import (
    DETACHED_LIMIT_S,
    RETENTION_S,
    Engine,
    EngineOptions,
)
from chicoryplank_standins._ranks import LOAD_STEPS, ExpertLoads
from chicoryplank_standins.engine import make_application
from chicoryplank_standins.tests.asgi import request, settle, start
from chicoryplank_standins.tokens import expected_tokens, prefix_blocks

PATH = "/v1/completions"


def read_events(body):
    """Returns the event ids, the text and whether the end was sent."""
    numbers, text = [], ""
    for event in body.decode().split("\n\n"):
        if not event.startswith("id: "):
            continue
        first, second = event.split("\n", 1)
        numbers.append(int(first.removeprefix("id: ")))
        text += json.loads(second.removeprefix("data: "))["choices"][0]["text"]
    return numbers, text, body.endswith(b"data: [DONE]\n\n")


class EngineTestCase(testtools.TestCase):
    """Base with an engine whose clock and steps the test drives."""

    def make(self, **options):
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


class TestAnswers(EngineTestCase):
    """Whole and streamed answers, queueing and the records."""

    def test_answers_hold_the_expected_tokens(self):
        """Guards against an answer that a caller cannot verify."""
        self.make()

        async def run():
            whole = self.complete("a", stream=False)
            stream = self.complete("b")
            await self.step(3)
            await asyncio.gather(whole.task, stream.task)
            return whole.json()["choices"][0]["text"], stream.body

        text, body = asyncio.run(run())
        expected = "".join(expected_tokens("model", "prompt of a", 3))
        self.assertEqual(expected, text)
        expected = "".join(expected_tokens("model", "prompt of b", 3))
        self.assertEqual(([1, 2, 3, 4], expected, True), read_events(body))

    def test_answer_follows_a_run_that_ends_at_once(self):
        """Guards against a caller that starts to wait after the last token."""
        self.make()

        async def run():
            finished = []
            for ticks in range(20):
                call = self.complete(f"a{ticks}", 1, stream=False)
                for _ in range(ticks):
                    await asyncio.sleep(0)
                # No other task runs between these steps.
                self.engine.begin_step()
                self.engine.end_step()
                await self.step(2)
                finished.append(call.task.done())
                call.disconnect()
                await call.task
            return finished

        self.assertEqual([True] * 20, asyncio.run(run()))

    def test_urgent_requests_leave_the_queue_first(self):
        """Guards against a queue that ignores the priority."""
        self.make(max_batch=1)

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

    def test_records_count_each_run(self):
        """Guards against records that hide a repeated run."""
        self.make()

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

    def test_cached_prefix_saves_prefill_and_shows_as_events(self):
        """Guards against a cache that saves nothing or reports nothing."""
        self.make(prefill_blocks_per_step=1, event_lag_ms=1_000)
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
        self.assertEqual(prefix_blocks(prompt), blocks)


class TestStreams(EngineTestCase):
    """Broken streams: resuming, cancelling and expiry."""

    def test_stream_resumes_after_the_last_event(self):
        """Guards against tokens lost or doubled by a resumption."""
        self.make()

        async def run():
            self.engine.faults.change({"cut_after_tokens": 2})
            broken = self.complete("a", 5)
            await self.step(3)
            await broken.task
            resumed = start(
                self.application,
                "GET",
                "/v1/streams/a",
                headers={"last-event-id": "2"},
            )
            await self.step(2)
            await resumed.task
            return broken, resumed.body

        broken, body = asyncio.run(run())
        self.assertTrue(broken.aborted)
        first = read_events(broken.body)
        second = read_events(body)
        self.assertEqual(([1, 2], False), (first[0], first[2]))
        self.assertEqual(([3, 4, 5, 6], True), (second[0], second[2]))
        expected = "".join(expected_tokens("model", "prompt of a", 5))
        self.assertEqual(expected, first[1] + second[1])

    def test_unread_run_is_cancelled_then_forgotten(self):
        """Guards against runs that occupy the batch for nobody."""
        self.make()

        async def run():
            call = self.complete("a", 1_000)
            await self.step(2)
            call.disconnect()
            await call.task
            states = []
            for self.now in (DETACHED_LIMIT_S - 1, DETACHED_LIMIT_S):
                self.engine.expire_runs()
                states.append(self.engine.find("a").state.value)
            self.now = RETENTION_S
            self.engine.expire_runs()
            return states, self.engine.find("a")

        expected = (["running", "cancelled"], None)
        self.assertEqual(expected, asyncio.run(run()))

    def test_delete_cancels_a_stream(self):
        """Guards against a cancelled stream that looks complete."""
        self.make()

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

    def test_fencing_is_checked_only_where_configured(self):
        """Guards against one kind of engine standing in for both."""

        async def run():
            codes = []
            for token in (5, 4):
                call = await self.order("set_version", token, version="v2")
                codes.append(call.status)
            return codes

        self.make(checks_fencing=True)
        self.assertEqual([200, 409], asyncio.run(run()))
        self.make(checks_fencing=False)
        self.assertEqual([200, 200], asyncio.run(run()))

    def test_order_takes_effect_once(self):
        """Guards against a repeated order that undoes a later one."""
        self.make()

        async def run():
            await self.order("set_version", 1, "one", version="v2")
            await self.order("set_version", 1, "two", version="v3")
            await self.order("set_version", 1, "one", version="v2")
            return self.engine.version

        self.assertEqual("v3", asyncio.run(run()))

    def test_prepared_rank_waits_for_the_decision(self):
        """Guards against steps in which ranks use different maps."""
        self.make(ranks=2)

        async def run():
            await self.order("prepare_map", 1, digest="b", stop_step=2)
            await self.step(5)
            waiting = self.engine.ranks.step
            await self.order("decide_map", 1, digest="b", first_step=3)
            await self.step(3)
            return waiting, self.engine.ranks

        waiting, ranks = asyncio.run(run())
        segments = ranks.read_segments()
        digests = [segment["digests"] for segment in segments]
        self.assertEqual((2, 0), (waiting, ranks.mixed_steps))
        self.assertEqual([["initial"] * 2, ["b"] * 2], digests)
        self.assertEqual(3, segments[1]["first_step"])

    def test_mixed_step_is_recorded(self):
        """Guards against records that hide a mixed step."""
        self.make(ranks=2)

        async def run():
            await self.order("prepare_map", 1, digest="b", stop_step=0, rank=1)
            await self.order("decide_map", 1, digest="b", first_step=0, rank=1)
            await self.step()
            abort = await self.order("abort_map", 1, digest="b")
            return self.engine.ranks.mixed_steps, abort.status

        self.assertEqual((1, 200), asyncio.run(run()))

    def test_ranks_of_a_group_wait_until_they_are_started(self):
        """Guards against a replacement that steps with its first map."""
        self.make(members=2, leader="127.0.0.1:1")

        async def run():
            call = await self.order("prepare_map", 1, digest="b", stop_step=9)
            await self.step(2)
            before = self.engine.ranks.step
            await self.order(
                "join_map", 1, digest="a", step=5, next_digest="b", first_step=6
            )
            await self.step(2)
            return call.status, before

        refused, before = asyncio.run(run())
        self.assertEqual((409, 0), (refused, before))
        digests = [
            segment["digests"] for segment in self.engine.ranks.read_segments()
        ]
        self.assertEqual([["a"], ["b"]], digests)

    def test_expert_loads_are_those_of_the_experts(self):
        """Guards against an engine without experts that fails on loads."""
        for experts in (0, 1, 8):
            self.make(experts=experts)
            call = asyncio.run(
                request(self.application, "GET", "/expert-loads")
            )
            self.assertEqual(experts, len(call.json()["counts"]))


class TestExpertLoads(testtools.TestCase):
    """Counts of tokens by expert."""

    def test_few_experts_have_loads_as_well(self):
        """Guards against an engine that fails when it is asked for loads."""
        late = 10_000 * LOAD_STEPS
        counts = [len(ExpertLoads(n, 0).read(late)) for n in (0, 1, 2)]
        self.assertEqual([0, 1, 2], counts)
