"""Seeded open-loop traffic whose every answer is verified."""

import asyncio
import json
import random
import sys
import time
from typing import Any

import aiosonic
import click
from aiosonic.exceptions import AiosonicError

from chicoryplank_standins._checks import (
    Outcome,
    StreamCheck,
    Tally,
    check_whole,
    read_refusal,
)
from chicoryplank_standins._client import make_client
from chicoryplank_standins._traffic import (
    Call,
    CallKind,
    Repetition,
    Target,
    make_calls,
)

MAX_IN_FLIGHT = 2_048
# A caller waits longer than its deadline for the answer that says so.
GRACE_S = 3.0
DEFAULT_ADDRESS_TTL_S = 5.0
PROGRESS_INTERVAL_S = 5.0
REPEAT_DELAY_S = 0.02
CONNECTION_ERRORS = (AiosonicError, OSError, EOFError, ValueError)


class Load:
    """Sends calls to the entries and counts the outcomes.

    Args:
        target: What the calls are sent to.
        entries: Addresses known at the start.
    """

    def __init__(self, target: Target, entries: list[str]) -> None:
        self.tally = Tally()
        self._target = target
        self._known = entries
        self._entries = list(entries)
        self._in_flight: set[asyncio.Task] = set()
        self._client = make_client(MAX_IN_FLIGHT)

    async def run(self, rate: float, seconds: float, seed: int) -> None:
        """Sends the traffic and waits for the answers."""
        await self._learn_addresses()
        helpers = [
            asyncio.create_task(self._refresh_addresses()),
            asyncio.create_task(self._show_progress()),
        ]
        started_s = time.monotonic()
        calls = make_calls(self._target, rate, seconds, random.Random(seed))
        for call in calls:
            delay_s = started_s + call.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                self.tally.not_sent += 1
                continue
            task = asyncio.create_task(self._carry_out(call))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
        if self._in_flight:
            await asyncio.gather(*self._in_flight)
        for helper in helpers:
            helper.cancel()

    async def read_records(self, urls: list[str]) -> list[dict[str, Any]]:
        """Returns the records of all backend servers."""
        records = []
        for url in urls:
            base = url if "://" in url else f"http://{url}"
            address = base.removesuffix("/").removesuffix("/records")
            response = await self._client.get(f"{address}/records")
            records.extend((await response.json())["records"])
        return records

    async def _carry_out(self, call: Call) -> None:
        first = self._choose(call.choice)
        if call.repetition is Repetition.DURING:
            await asyncio.gather(
                self._try(call, first, False), self._repeat(call)
            )
            return
        await self._try(call, first, False)
        if call.repetition is Repetition.AFTERWARDS:
            await self._repeat(call)

    async def _repeat(self, call: Call) -> None:
        await asyncio.sleep(REPEAT_DELAY_S)
        await self._try(call, self._choose(call.choice + 1), True)

    def _choose(self, choice: int) -> str:
        return self._entries[choice % len(self._entries)]

    async def _try(self, call: Call, entry: str, is_repeat: bool) -> None:
        check = StreamCheck(call, self._target.model)
        limit_s = self._target.timeout_ms / 1_000 + GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._send(call, entry, check)
        except TimeoutError:
            outcome = check.break_off("client_timeout")
        except CONNECTION_ERRORS:
            outcome = check.break_off("client_connection")
        self.tally.add(call, outcome, is_repeat)

    async def _send(
        self, call: Call, entry: str, check: StreamCheck
    ) -> Outcome:
        sent_s = time.monotonic()
        response = await self._client.request(
            f"http://{entry}{call.path}",
            call.method,
            headers=call.headers,
            data=call.body or None,
            stream=True,
        )
        if response.status_code != 200:
            return await _read_error(response)
        if call.kind is not CallKind.STREAM:
            body = await response.content()
            return check_whole(call, self._target.model, body)
        last_s = None
        async for piece in response.read_chunks():
            now_s = time.monotonic()
            if not check.feed(piece):
                continue
            if last_s is None:
                self.tally.first_token.add(now_s - sent_s)
            else:
                self.tally.between_tokens.add(now_s - last_s)
            last_s = now_s
        return check.finish()

    async def _learn_addresses(self) -> float:
        headers = {"Authorization": f"Bearer {self._target.token}"}
        for entry in [*self._entries, *self._known]:
            try:
                async with asyncio.timeout(2):
                    response = await self._client.get(
                        f"http://{entry}/v1/addresses", headers=headers
                    )
                    answer = await response.json()
                addresses = _read_addresses(answer)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if addresses:
                self._entries = addresses
                return float(answer.get("ttl_s", DEFAULT_ADDRESS_TTL_S))
        return DEFAULT_ADDRESS_TTL_S

    async def _refresh_addresses(self) -> None:
        while True:
            await asyncio.sleep(await self._learn_addresses())

    async def _show_progress(self) -> None:
        is_terminal = sys.stderr.isatty()
        while True:
            await asyncio.sleep(1 if is_terminal else PROGRESS_INTERVAL_S)
            line = f"{self.tally.format_progress()}, open {self._open_calls}"
            print(line, end="\r" if is_terminal else "\n", file=sys.stderr)

    @property
    def _open_calls(self) -> int:
        return len(self._in_flight)


def _read_addresses(answer: Any) -> list[str]:
    items = answer.get("addresses", []) if isinstance(answer, dict) else []
    return [
        str(item["address"] if isinstance(item, dict) else item)
        for item in items
    ]


async def _read_error(response: aiosonic.HttpResponse) -> Outcome:
    verdict = response.headers.get("x-verdict", "")
    body = await response.content()
    try:
        payload = json.loads(body)
    except ValueError:
        payload = None
    return read_refusal(payload, verdict, response.status_code)


def split(text: str) -> list[str]:
    """Returns the parts of a list separated by commas."""
    return [part for part in text.split(",") if part]


@click.command()
@click.option("--entries", required=True, help="Addresses, by comma.")
@click.option("--token", required=True, help="Token of a client account.")
@click.option("--model", default="", help="Model; none if empty.")
@click.option("--service", default="", help="Plain service; none if empty.")
@click.option("--seconds", default=20.0, help="Length of the traffic.")
@click.option("--rate", default=20.0, help="Calls a second.")
@click.option("--seed", default=0, help="Seed of the traffic.")
@click.option("--timeout-ms", default=30_000, help="Deadline of a call.")
@click.option("--max-tokens", default=64, help="Most tokens of a call.")
@click.option(
    "--service-records", default="", help="Backend addresses, by comma."
)
@click.option("--json", "is_json", is_flag=True, help="Print one line.")
def main(
    *,
    entries: str,
    seconds: float,
    rate: float,
    seed: int,
    service_records: str,
    is_json: bool,
    **fields: Any,
) -> None:
    """Sends traffic and prints the summary as JSON on the last line."""
    if not fields["model"] and not fields["service"]:
        raise click.UsageError("give a model, a service or both")

    async def run() -> dict[str, Any]:
        load = Load(Target(**fields), split(entries))
        await load.run(rate, seconds, seed)
        urls = split(service_records)
        records = await load.read_records(urls) if urls else None
        return load.tally.summarise(records)

    summary = asyncio.run(run())
    if not is_json:
        print(json.dumps(summary, indent=2))
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
