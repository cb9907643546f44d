"""Load generator: seeded open-loop traffic with verified responses."""

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
    CallStatistics,
    Outcome,
    StreamVerifier,
    check_complete_response,
    parse_error_response,
)
from chicoryplank_standins._client import make_client
from chicoryplank_standins._traffic import (
    Call,
    CallKind,
    RetryTiming,
    Target,
    make_calls,
)

MAX_IN_FLIGHT = 2_048
# Time after the deadline of a call in which a timeout response may arrive.
RESPONSE_GRACE_S = 3.0
DEFAULT_ADDRESS_TTL_S = 5.0
PROGRESS_INTERVAL_S = 5.0
RETRY_DELAY_S = 0.02
CONNECTION_ERRORS = (AiosonicError, OSError, EOFError, ValueError)


class LoadGenerator:
    """Sends calls to the entries and counts their outcomes.

    Args:
        target: Client account, model and service of the calls.
        entries: Addresses of entries; further ones are fetched from these.
    """

    def __init__(self, target: Target, entries: list[str]) -> None:
        self.statistics = CallStatistics()
        self._target = target
        self._initial_entries = entries
        self._entries = list(entries)
        self._in_flight: set[asyncio.Task] = set()
        self._client = make_client(MAX_IN_FLIGHT)

    async def run(self, rate: float, seconds: float, seed: int) -> None:
        """Sends the traffic and waits until all calls have ended."""
        await self._fetch_addresses()
        background_tasks = [
            asyncio.create_task(self._refresh_addresses()),
            asyncio.create_task(self._print_progress()),
        ]
        started_s = time.monotonic()
        calls = make_calls(self._target, rate, seconds, random.Random(seed))
        for call in calls:
            delay_s = started_s + call.at_s - time.monotonic()
            await asyncio.sleep(max(0.0, delay_s))
            if len(self._in_flight) >= MAX_IN_FLIGHT:
                self.statistics.not_sent += 1
                continue
            task = asyncio.create_task(self._execute(call))
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)
        if self._in_flight:
            await asyncio.gather(*self._in_flight)
        for background_task in background_tasks:
            background_task.cancel()

    async def read_records(self, urls: list[str]) -> list[dict[str, Any]]:
        """Returns the execution records of all backend servers."""
        records = []
        for url in urls:
            base = url if "://" in url else f"http://{url}"
            address = base.removesuffix("/").removesuffix("/records")
            response = await self._client.get(f"{address}/records")
            records.extend((await response.json())["records"])
        return records

    async def _execute(self, call: Call) -> None:
        first = self._select_entry(call.choice)
        if call.retry_timing is RetryTiming.DURING:
            await asyncio.gather(
                self._send_and_record(call, first, False), self._retry(call)
            )
            return
        await self._send_and_record(call, first, False)
        if call.retry_timing is RetryTiming.AFTERWARDS:
            await self._retry(call)

    async def _retry(self, call: Call) -> None:
        await asyncio.sleep(RETRY_DELAY_S)
        await self._send_and_record(
            call, self._select_entry(call.choice + 1), True
        )

    def _select_entry(self, choice: int) -> str:
        return self._entries[choice % len(self._entries)]

    async def _send_and_record(
        self, call: Call, entry: str, is_retry: bool
    ) -> None:
        verifier = StreamVerifier(call, self._target.model)
        timeout_s = self._target.timeout_ms / 1_000 + RESPONSE_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._send(call, entry, verifier)
        except TimeoutError:
            outcome = verifier.finish_interrupted("client_timeout")
        except CONNECTION_ERRORS:
            outcome = verifier.finish_interrupted("client_connection")
        self.statistics.add(call, outcome, is_retry)

    async def _send(
        self, call: Call, entry: str, verifier: StreamVerifier
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
            return check_complete_response(call, self._target.model, body)
        last_token_s = None
        async for chunk in response.read_chunks():
            now_s = time.monotonic()
            if not verifier.feed(chunk):
                continue
            if last_token_s is None:
                self.statistics.first_token.add(now_s - sent_s)
            else:
                self.statistics.between_tokens.add(now_s - last_token_s)
            last_token_s = now_s
        return verifier.finish()

    async def _fetch_addresses(self) -> float:
        headers = {"Authorization": f"Bearer {self._target.token}"}
        for entry in [*self._entries, *self._initial_entries]:
            try:
                async with asyncio.timeout(2):
                    response = await self._client.get(
                        f"http://{entry}/v1/addresses", headers=headers
                    )
                    document = await response.json()
                addresses = _read_addresses(document)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if addresses:
                self._entries = addresses
                return float(document.get("ttl_s", DEFAULT_ADDRESS_TTL_S))
        return DEFAULT_ADDRESS_TTL_S

    async def _refresh_addresses(self) -> None:
        while True:
            await asyncio.sleep(await self._fetch_addresses())

    async def _print_progress(self) -> None:
        is_terminal = sys.stderr.isatty()
        while True:
            await asyncio.sleep(1 if is_terminal else PROGRESS_INTERVAL_S)
            line = (
                f"{self.statistics.format_progress()}, "
                f"in flight {self._in_flight_count}"
            )
            print(line, end="\r" if is_terminal else "\n", file=sys.stderr)

    @property
    def _in_flight_count(self) -> int:
        return len(self._in_flight)


def _read_addresses(document: Any) -> list[str]:
    items = document.get("addresses", []) if isinstance(document, dict) else []
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
    return parse_error_response(payload, verdict, response.status_code)


def split_list(text: str) -> list[str]:
    """Splits a comma-separated list and drops empty items."""
    return [part for part in text.split(",") if part]


@click.command()
@click.option(
    "--entries", required=True, help="Entry addresses, separated by commas."
)
@click.option("--token", required=True, help="Token of a client account.")
@click.option(
    "--model", default="", help="Model of the completions; none if empty."
)
@click.option("--service", default="", help="Plain service; none if empty.")
@click.option("--seconds", default=20.0, help="Duration of the traffic.")
@click.option("--rate", default=20.0, help="Mean number of calls per second.")
@click.option("--seed", default=0, help="Seed of the traffic.")
@click.option("--timeout-ms", default=30_000, help="Timeout of a call.")
@click.option(
    "--max-tokens", default=64, help="Maximum tokens of a completion."
)
@click.option(
    "--service-records",
    default="",
    help="Backend server addresses, separated by commas.",
)
@click.option(
    "--json",
    "is_json",
    is_flag=True,
    help="Print the summary as a single line.",
)
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
        raise click.UsageError("specify --model, --service or both")

    async def run() -> dict[str, Any]:
        generator = LoadGenerator(Target(**fields), split_list(entries))
        await generator.run(rate, seconds, seed)
        urls = split_list(service_records)
        records = await generator.read_records(urls) if urls else None
        return generator.statistics.summarise(records)

    summary = asyncio.run(run())
    if not is_json:
        print(json.dumps(summary, indent=2))
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
