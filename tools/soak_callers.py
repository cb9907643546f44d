"""Callers of the soak run: mixed calls, retries, late and leaving callers."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable

import aiosonic
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from soak_records import Ending, Try

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
# A caller waits longer than its deadline for the answer that says so.
GRACE_S = 3.0
MAX_TRIES = 5
_BROKEN = (AiosonicError, OSError, EOFError, ValueError)
_UNREACHED = (ConnectionRefusedError, ConnectTimeout)
_TIMEOUTS_MS = (1_500, 4_000, 8_000, 8_000)
_GONE_SHARE = 0.06
_LATE_SHARE = 0.2
_RETRY_SHARE = 0.75
_RETRY_DELAYS_S = (0.0, 0.05, 0.5, 2.0, 4.0)


class Addresses:
    """Addresses of entries as callers learn and cache them.

    Args:
        names: Name of each entry by its address.
        token: Bearer token.
    """

    def __init__(self, names: dict[str, str], token: str) -> None:
        self.current = list(names)
        self.names = names
        self.ttl_s = 1.0
        self._headers = {"Authorization": f"Bearer {token}"}

    async def refresh(self) -> None:
        """Asks an entry again and again until cancelled."""
        client = make_client(8)
        turn = 0
        while True:
            turn += 1
            known = self.current if turn % 4 else list(self.names)
            entry = known[turn % len(known)]
            try:
                async with asyncio.timeout(0.3):
                    response = await client.get(
                        f"http://{entry}/v1/addresses", headers=self._headers
                    )
                    answer = await response.json()
            except (TimeoutError, *_BROKEN):
                self.current = [
                    item for item in self.current if item != entry
                ] or list(self.names)
                continue
            if answer.get("addresses"):
                self.current = answer["addresses"]
                self.ttl_s = float(answer["ttl_s"])
            await asyncio.sleep(self.ttl_s)


class Callers:
    """Sends calls and keeps what the callers saw.

    Args:
        target: What the calls are sent to.
        addresses: Entries.
        on_try: Called with each try that has ended.
    """

    def __init__(
        self,
        target: Target,
        addresses: Addresses,
        on_try: Callable[[Try], None],
    ) -> None:
        self.addresses = addresses
        self.not_sent = 0
        self._target = target
        self._on_try = on_try
        self._client = make_client(MAX_IN_FLIGHT)
        self._in_flight: set[asyncio.Task] = set()

    async def run(
        self, target: Target, rate: float, seconds: float, seed: str
    ) -> None:
        """Sends the calls of one source; `finish` waits for the answers."""
        started_s = time.monotonic()
        for call in make_calls(target, rate, seconds, random.Random(seed)):
            delay_s = started_s + call.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                self.not_sent += 1
                continue
            task = asyncio.create_task(self.carry_out(call))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def finish(self) -> None:
        """Waits for the calls in progress."""
        await asyncio.gather(*self._in_flight)

    async def carry_out(self, call: Call) -> None:
        """Makes a call as its caller would, with retries."""
        choices = random.Random(call.choice)
        call = _set_timeout(call, choices.choice(_TIMEOUTS_MS))
        limit_s, ending = _choose_patience(call, choices)
        turn = call.choice
        first = self.send(call, turn, True, limit_s, ending)
        if call.retry_timing is RetryTiming.DURING:
            second = self._repeat(call, turn + 1, 0.02)
            outcomes = await asyncio.gather(first, second)
            last = outcomes[-1]
        else:
            last = await first
        if call.kind is not CallKind.WRITE or last.ending is Ending.GONE:
            return
        if call.retry_timing is RetryTiming.AFTERWARDS:
            last = await self._repeat(call, turn + 1, 0.02)
        for number in range(2, MAX_TRIES):
            if last.outcome.is_correct or choices.random() > _RETRY_SHARE:
                return
            delay_s = choices.choice(_RETRY_DELAYS_S)
            last = await self._repeat(call, turn + number, delay_s)

    async def _repeat(self, call: Call, turn: int, delay_s: float) -> Try:
        await asyncio.sleep(delay_s)
        return await self.send(call, turn, False)

    async def send(
        self,
        call: Call,
        turn: int,
        is_first: bool,
        limit_s: float | None = None,
        ending: Ending = Ending.TIMED_OUT,
    ) -> Try:
        """Makes one try; takes the next entry if one cannot be reached.

        Args:
            call: The call.
            turn: Selects the entry.
            is_first: Whether it is the first try of the call.
            limit_s: The caller waits this long; None for its deadline.
            ending: How the try ends when the caller waits no longer.
        """
        if limit_s is None:
            timeout_ms = int(call.headers["X-Request-Timeout-Ms"])
            limit_s = timeout_ms / 1_000 + GRACE_S
        for skip in range(8):
            known = self.addresses.current
            entry = known[(turn + skip) % len(known)]
            sent_s = time.time()
            end, outcome = await self._exchange(call, entry, limit_s, ending)
            name = self.addresses.names.get(entry, entry)
            done = Try(call, name, sent_s, time.time(), end, outcome, is_first)
            if end is not Ending.UNREACHED:
                break
            await asyncio.sleep(0.05)
        self._on_try(done)
        return done

    async def _exchange(
        self, call: Call, entry: str, limit_s: float, ending: Ending
    ) -> tuple[Ending, Outcome]:
        check = StreamVerifier(call, self._target.model)
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._read(call, entry, check)
        except _UNREACHED:
            return Ending.UNREACHED, Outcome(verdict="not_run")
        except TimeoutError:
            return ending, check.finish_interrupted("")
        except _BROKEN:
            return Ending.BROKEN, check.finish_interrupted("")
        return Ending.ANSWERED, outcome

    async def _read(
        self, call: Call, entry: str, check: StreamVerifier
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
        async for piece in response.read_chunks():
            check.feed(piece)
        return check.finish()


def _set_timeout(call: Call, timeout_ms: int) -> Call:
    headers = call.headers | {"X-Request-Timeout-Ms": str(timeout_ms)}
    return dataclasses.replace(call, headers=headers)


def _choose_patience(
    call: Call, choices: random.Random
) -> tuple[float | None, Ending]:
    """Decides whether a caller goes away or asks again early."""
    if choices.random() < _GONE_SHARE:
        return choices.uniform(0.005, 0.6), Ending.GONE
    if call.kind is CallKind.WRITE and choices.random() < _LATE_SHARE:
        return choices.uniform(0.02, 0.5), Ending.LATE
    return None, Ending.TIMED_OUT


async def _read_error(response: aiosonic.HttpResponse) -> Outcome:
    verdict = response.headers.get("x-verdict", "")
    body = await response.content()
    try:
        payload = json.loads(body)
    except ValueError:
        payload = None
    return parse_error_response(payload, verdict, response.status_code)
