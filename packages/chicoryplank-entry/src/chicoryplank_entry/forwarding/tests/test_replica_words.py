"""Tests of replicas that leave or ask for a pause in their responses.

Load pattern: some replicas of a service leave or pause while requests keep
arriving.
"""

import asyncio
import dataclasses
import time

from chicoryplank.admission import HoldReason
from chicoryplank.ids import InstanceId
from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    hang,
    make_event,
    reject,
    respond,
    stream,
)
from chicoryplank_entry.forwarding.tests.test_exchange import ExchangeCase

_FIRST = InstanceId("replica-0")
_LEAVING = ("Server-Leaving: 1",)
_REQUESTS = 30


def _pause(seconds):
    return (f"Retry-After: {seconds}",)


class _WordsCase(ExchangeCase):
    """Sends requests one after the other."""

    def _send_all(self, replicas, *, requests=_REQUESTS, gap_s=0.0, **fields):
        """Returns the statuses, with the entry's state after them."""

        async def run():
            async with EntryFixture(*replicas, **fields) as fixture:
                statuses = []
                for number in range(requests):
                    status, _, _ = await fixture.send_request(
                        request_id=str(number)
                    )
                    statuses.append(status)
                    await asyncio.sleep(gap_s)
                return statuses, fixture.state

        return asyncio.run(run())


class TestLeavingReplica(_WordsCase):
    """A replica that says that it leaves gets no new request."""

    def test_success_with_the_word(self):
        """Guards against requests to a replica that leaves."""
        for kind in (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT):
            leaving = Replica(respond(extra=_LEAVING))
            statuses, _ = self._send_all(
                [leaving, Replica(respond())], kind=kind
            )
            self.assertEqual({200}, set(statuses))
            self.assertEqual(1, len(leaving.requests))

    def test_error_with_the_word(self):
        """Guards against a word that is read on successes only."""
        for script in (
            reject(extra=_LEAVING),
            respond(status="500 Internal Server Error", extra=_LEAVING),
            respond(status="404 Not Found", extra=_LEAVING),
        ):
            leaving = Replica(script)
            self._send_all([leaving, Replica(respond())])
            self.assertEqual(1, len(leaving.requests))

    def test_stream_with_the_word(self):
        """Guards against a word that is not read on streams."""
        events = [make_event(number) for number in range(1, 4)]

        def add_word(recorded, writer):
            write = writer.write
            writer.write = lambda data: write(
                data.replace(b"X-Proof", b"Server-Leaving: 1\r\nX-Proof")
            )
            return stream(events)(recorded, writer)

        leaving = Replica(add_word)
        statuses, _ = self._send_all(
            [leaving, Replica(stream(events))], kind=RequestKind.STREAMING
        )
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, len(leaving.requests))

    def test_word_of_another_replica_is_ignored(self):
        """Guards against a word of the replica that has the address now."""
        script = reject("421 Misdirected Request", extra=_LEAVING)
        _, state = self._send_all([Replica(script), Replica(respond())])
        self.assertFalse(
            state.holds.is_held(
                _FIRST, state.now_s(), frozenset({HoldReason.LEAVING})
            )
        )

    def test_word_on_a_response_without_the_id(self):
        """Guards against a late response to another request."""
        script = respond(extra=("X-Id: 5", *_LEAVING), proof=False)
        _, state = self._send_all([Replica(script), Replica(respond())])
        self.assertFalse(state.holds.is_held(_FIRST, state.now_s()))

    def _read_registration(self, **changes):
        """Returns whether a leaving replica is held after a registration."""

        async def run():
            replica = Replica(respond(extra=_LEAVING))
            async with EntryFixture(replica) as fixture:
                state = fixture.state
                await fixture.send_request()
                record = state.registry.get(_FIRST)
                state.registry.remove(_FIRST, state.now_s())
                state.refresh_candidates()
                state.readmit(_FIRST)
                state.registry.put(dataclasses.replace(record, **changes))
                state.refresh_candidates()
                return state.holds.is_held(_FIRST, state.now_s())

        return asyncio.run(run())

    def test_registration_does_not_lift_the_word(self):
        """Guards against a registration that is older than the word."""
        self.assertTrue(self._read_registration())

    def test_new_start_lifts_the_word(self):
        """Guards against a restarted replica that is never used again."""
        self.assertFalse(self._read_registration(started_ms=9))

    def test_late_word_of_an_earlier_start(self):
        """Guards against a response that outlives the process that sent it."""

        async def run():
            async with EntryFixture(Replica(respond())) as fixture:
                state = fixture.state
                earlier = state.registry.get(_FIRST)
                state.registry.put(dataclasses.replace(earlier, started_ms=9))
                state.refresh_candidates()
                state.replica_words.observe_leaving(earlier)
                return state.holds.is_held(_FIRST, state.now_s())

        self.assertFalse(asyncio.run(run()))


class TestPausedReplica(_WordsCase):
    """A replica that asks for a pause gets no request until its end."""

    def test_one_of_four_pauses(self):
        """Guards against requests in a pause while others take them."""
        paused = Replica(reject(extra=_pause(3)))
        replicas = [paused, *(Replica(respond()) for _ in range(3))]
        statuses, _ = self._send_all(replicas, requests=60)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, len(paused.requests))

    def test_requests_return_after_the_pause(self):
        """Guards against a pause without an end."""
        paused = Replica(reject(extra=_pause(0.2)), respond())
        self._send_all([paused, Replica(respond())], requests=40, gap_s=0.02)
        self.assertGreater(len(paused.requests), 3)

    def test_implausible_pauses(self):
        """Guards against a value without meaning that excludes a replica."""
        for text in ("soon", "-5", "", "0"):
            replica = Replica(reject(extra=_pause(text)), respond())
            _, state = self._send_all([replica], requests=1)
            pause = frozenset({HoldReason.PAUSE})
            now_s = state.now_s()
            self.assertFalse(state.holds.is_held(_FIRST, now_s, pause), text)

    def test_long_pause_is_bounded(self):
        """Guards against a replica that excludes itself for ever."""
        replica = Replica(reject(extra=_pause("9" * 12)))
        _, state = self._send_all([replica, Replica(respond())])
        now_s = state.now_s()
        self.assertTrue(state.holds.is_held(_FIRST, now_s + 200))
        self.assertFalse(state.holds.is_held(_FIRST, now_s + 302))

    def test_all_pause(self):
        """Guards against a wait for a slot that can't be free in time."""

        async def run():
            replicas = [Replica(reject(extra=_pause(5))) for _ in range(4)]
            async with EntryFixture(*replicas) as fixture:
                await fixture.send_request()
                started_s = time.monotonic()
                status, headers, body = await fixture.send_request(
                    request_id="78"
                )
                elapsed_s = time.monotonic() - started_s
                count = sum(len(replica.requests) for replica in replicas)
                return elapsed_s, status, headers, body, count

        elapsed_s, status, headers, body, count = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertIn("retry-after", headers)
        self.assertLess(elapsed_s, 0.1)
        self.assertEqual(4, count)

    def test_waiting_requests_are_settled(self):
        """Guards against requests that wait on while all replicas pause."""

        async def run():
            replica = Replica(hang())
            async with EntryFixture(replica) as fixture:
                busy = [
                    asyncio.create_task(
                        fixture.send_request(request_id=str(number))
                    )
                    for number in range(2)
                ]
                await asyncio.sleep(0.05)
                waiting = asyncio.create_task(
                    fixture.send_request(request_id="9")
                )
                await asyncio.sleep(0.05)
                state = fixture.state
                started_s = time.monotonic()
                state.replica_words.observe_pause(
                    state.registry.get(_FIRST), "30"
                )
                status, _, body = await waiting
                elapsed_s = time.monotonic() - started_s
                for task in busy:
                    task.cancel()
                return elapsed_s, status, body

        elapsed_s, status, body = asyncio.run(run())
        self.assertEqual((503, "not_run"), (status, self.get_verdict(body)))
        self.assertLess(elapsed_s, 0.3)

    def test_pause_while_a_connection_is_made(self):
        """Guards against a request that was under way when the pause began."""

        async def run():
            replicas = [Replica(respond()), Replica(respond())]
            async with EntryFixture(*replicas) as fixture:
                state = fixture.state
                acquire = fixture.pool.acquire

                async def acquire_and_pause(backend, *args):
                    connection = await acquire(backend, *args)
                    if backend.instance == _FIRST:
                        record = state.registry.get(_FIRST)
                        state.replica_words.observe_pause(record, "30")
                    return connection

                fixture.pool.acquire = acquire_and_pause
                statuses = {
                    (await fixture.send_request(request_id=str(number)))[0]
                    for number in range(10)
                }
                return statuses, len(replicas[0].requests)

        self.assertEqual(({200}, 0), asyncio.run(run()))
