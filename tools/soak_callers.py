"""Simulated callers of the soak test, which retry, leave and give up early."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable

import aiosonic
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from soak_records import CallerAttempt, EndReason

from chicoryplank_standins.calls import (
    Call,
    CallKind,
    Outcome,
    RetryTiming,
    StreamVerifier,
    Target,
    check_complete_response,
    make_calls,
    make_client,
    parse_error_response,
)

MAX_IN_FLIGHT = 1_024
# Time beyond its deadline for which a caller waits for the error response.
DEADLINE_GRACE_S = 3.0
MAX_ATTEMPTS = 5
_CONNECTION_ERRORS = (AiosonicError, OSError, EOFError, ValueError)
_CONNECT_ERRORS = (ConnectionRefusedError, ConnectTimeout)
_TIMEOUTS_MS = (1_500, 4_000, 8_000, 8_000)
_LEAVE_PROBABILITY = 0.06
_EARLY_RETRY_PROBABILITY = 0.2
_RETRY_PROBABILITY = 0.75
_RETRY_DELAYS_S = (0.0, 0.05, 0.5, 2.0, 4.0)


class AddressCache:
    """Cached addresses of the entries, as a caller keeps them.

    Args:
        names: Name of each entry by its address.
        token: Bearer token.

    Attributes:
        current: Addresses that calls are sent to.
        ttl_s: Interval between refreshes in seconds.
    """

    def __init__(self, names: dict[str, str], token: str) -> None:
        self.current = list(names)
        self.names = names
        self.ttl_s = 1.0
        self._headers = {"Authorization": f"Bearer {token}"}

    async def refresh(self) -> None:
        """Refreshes the addresses periodically until cancelled."""
        client = make_client(8)
        entry_index = 0
        while True:
            entry_index += 1
            entries = self.current if entry_index % 4 else list(self.names)
            entry = entries[entry_index % len(entries)]
            try:
                async with asyncio.timeout(0.3):
                    response = await client.get(
                        f"http://{entry}/v1/addresses", headers=self._headers
                    )
                    document = await response.json()
            except (TimeoutError, *_CONNECTION_ERRORS):
                self.current = [
                    item for item in self.current if item != entry
                ] or list(self.names)
                continue
            if document.get("addresses"):
                self.current = document["addresses"]
                self.ttl_s = float(document["ttl_s"])
            await asyncio.sleep(self.ttl_s)


class CallerSimulator:
    """Sends calls and reports how each attempt ended.

    Args:
        target: Model and service that the calls address.
        addresses: Cached addresses of the entries.
        on_attempt: Called with each attempt that has ended.

    Attributes:
        not_sent: Number of calls dropped because too many were in flight.
    """

    def __init__(
        self,
        target: Target,
        addresses: AddressCache,
        on_attempt: Callable[[CallerAttempt], None],
    ) -> None:
        self.addresses = addresses
        self.not_sent = 0
        self._target = target
        self._on_attempt = on_attempt
        self._client = make_client(MAX_IN_FLIGHT)
        self._in_flight: set[asyncio.Task] = set()

    async def run(
        self, target: Target, rate: float, seconds: float, seed: str
    ) -> None:
        """Sends calls at a mean rate; `finish` waits for their responses."""
        started_s = time.monotonic()
        for call in make_calls(target, rate, seconds, random.Random(seed)):
            delay_s = started_s + call.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                self.not_sent += 1
                continue
            task = asyncio.create_task(self.run_call(call))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def finish(self) -> None:
        """Waits until all calls in flight have ended."""
        await asyncio.gather(*self._in_flight)

    async def run_call(self, call: Call) -> None:
        """Sends a call and retries it as its caller would."""
        rng = random.Random(call.choice)
        call = _set_timeout(call, rng.choice(_TIMEOUTS_MS))
        wait_s, end_reason = _choose_wait(call, rng)
        entry_index = call.choice
        first = self.send(call, entry_index, True, wait_s, end_reason)
        if call.retry_timing is RetryTiming.DURING:
            second = self._retry(call, entry_index + 1, 0.02)
            outcomes = await asyncio.gather(first, second)
            last = outcomes[-1]
        else:
            last = await first
        if (
            call.kind is not CallKind.WRITE
            or last.end_reason is EndReason.CALLER_LEFT
        ):
            return
        if call.retry_timing is RetryTiming.AFTERWARDS:
            last = await self._retry(call, entry_index + 1, 0.02)
        for number in range(2, MAX_ATTEMPTS):
            if last.outcome.is_correct or rng.random() > _RETRY_PROBABILITY:
                return
            delay_s = rng.choice(_RETRY_DELAYS_S)
            last = await self._retry(call, entry_index + number, delay_s)

    async def _retry(
        self, call: Call, entry_index: int, delay_s: float
    ) -> CallerAttempt:
        await asyncio.sleep(delay_s)
        return await self.send(call, entry_index, False)

    async def send(
        self,
        call: Call,
        entry_index: int,
        is_first: bool,
        wait_s: float | None = None,
        end_reason: EndReason = EndReason.TIMED_OUT,
    ) -> CallerAttempt:
        """Makes one attempt; uses the next entry if one is unreachable.

        Args:
            call: The call.
            entry_index: Index of the entry, modulo the number of entries.
            is_first: Whether this is the first attempt at the call.
            wait_s: Longest time to wait for the response; None for the
                deadline of the call and a grace period.
            end_reason: End reason of the attempt when that time is over.
        """
        if wait_s is None:
            timeout_ms = int(call.headers["X-Request-Timeout-Ms"])
            wait_s = timeout_ms / 1_000 + DEADLINE_GRACE_S
        for skip in range(8):
            entries = self.addresses.current
            entry = entries[(entry_index + skip) % len(entries)]
            sent_s = time.time()
            actual_reason, outcome = await self._send_once(
                call, entry, wait_s, end_reason
            )
            name = self.addresses.names.get(entry, entry)
            attempt = CallerAttempt(
                call,
                name,
                sent_s,
                time.time(),
                actual_reason,
                outcome,
                is_first,
            )
            if actual_reason is not EndReason.ENTRY_UNREACHABLE:
                break
            await asyncio.sleep(0.05)
        self._on_attempt(attempt)
        return attempt

    async def _send_once(
        self, call: Call, entry: str, wait_s: float, end_reason: EndReason
    ) -> tuple[EndReason, Outcome]:
        verifier = StreamVerifier(call, self._target.model)
        try:
            async with asyncio.timeout(wait_s):
                outcome = await self._read_outcome(call, entry, verifier)
        except _CONNECT_ERRORS:
            return EndReason.ENTRY_UNREACHABLE, Outcome(verdict="not_run")
        except TimeoutError:
            return end_reason, verifier.finish_interrupted("")
        except _CONNECTION_ERRORS:
            return EndReason.CONNECTION_BROKEN, verifier.finish_interrupted("")
        return EndReason.RESPONSE_RECEIVED, outcome

    async def _read_outcome(
        self, call: Call, entry: str, verifier: StreamVerifier
    ) -> Outcome:
        response = await self._client.request(
            f"http://{entry}{call.path}",
            call.method,
            headers=call.headers | {"Connection": "close"},
            data=call.body or None,
            stream=True,
        )
        if response.status_code != 200:
            return await _read_error(response)
        if call.kind is not CallKind.STREAM:
            body = await response.content()
            return check_complete_response(call, self._target.model, body)
        async for chunk in response.read_chunks():
            verifier.feed(chunk)
        return verifier.finish()


def _set_timeout(call: Call, timeout_ms: int) -> Call:
    headers = call.headers | {"X-Request-Timeout-Ms": str(timeout_ms)}
    return dataclasses.replace(call, headers=headers)


def _choose_wait(
    call: Call, rng: random.Random
) -> tuple[float | None, EndReason]:
    """Draws whether a caller leaves or retries early, and after which time."""
    if rng.random() < _LEAVE_PROBABILITY:
        return rng.uniform(0.005, 0.6), EndReason.CALLER_LEFT
    if call.kind is CallKind.WRITE and rng.random() < _EARLY_RETRY_PROBABILITY:
        return rng.uniform(0.02, 0.5), EndReason.EARLY_RETRY
    return None, EndReason.TIMED_OUT


async def _read_error(response: aiosonic.HttpResponse) -> Outcome:
    verdict = response.headers.get("x-verdict", "")
    body = await response.content()
    try:
        payload = json.loads(body)
    except ValueError:
        payload = None
    return parse_error_response(payload, verdict, response.status_code)
