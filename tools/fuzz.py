"""Sends seeded random mutations of valid messages to a small site.

Afterwards the site must serve valid requests as before: no process has ended,
no memory use has grown beyond its bound, no invariant was violated (event
1004), and no request is still in progress. Prints one JSON line and exits with
0 only if all of this holds.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import time

from demo import TOKEN, configure
from fleet import Fleet, FleetError, request_json
from fuzz_inputs import (
    draw_batch,
    draw_heartbeat,
    draw_input,
    make_key_reuses,
    make_valid_requests,
    make_write,
)
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from layout import Site, SiteOptions

from chicoryplank_wire.control_grpc import ControlStub
from chicoryplank_wire.relay_grpc import RelayStub

WORKERS = 8
READ_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 10.0
# Bound of the memory that a daemon uses for control, from section 1.7 of
# docs/design.md.
MAX_GROWTH_MB = 32
MAX_EXAMPLES = 5
INTERNAL_MESSAGE_SHARE = 0.25
WRITES_PER_CHECK = 10
CONNECTION_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    GRPCError,
    StreamTerminatedError,
    asyncio.LimitOverrunError,
)
LIMIT_SETTINGS = {
    "default_timeout_s": 5,
    "max_timeout_s": 10,
    "body_timeout_s": 1,
    "header_timeout_s": 1,
    "write_timeout_s": 2,
    "max_connections": 200,
}


def report(text: str) -> None:
    """Prints a progress message to standard error."""
    print(f"fuzz: {text}", file=sys.stderr, flush=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response; status 0 means that no response was received."""

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def code(self) -> str:
        """Error code in the body; empty if there is none."""
        try:
            return json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""


async def read_response(
    reader: asyncio.StreamReader, method: str = "POST"
) -> Response:
    """Reads the next response of a connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = tuple(tuple(line.lower().split(": ", 1)) for line in lines)
    headers = dict(pairs)
    status = int(first.split()[1])
    if method == "HEAD" or status == 100:
        return Response(status, pairs)
    if "content-length" in headers:
        size = int(headers["content-length"])
        return Response(status, pairs, await reader.readexactly(size))
    chunks = []
    while size := int(await reader.readline(), 16):
        chunks.append((await reader.readexactly(size + 2))[:-2])
    await reader.readline()
    return Response(status, pairs, b"".join(chunks))


async def send_request(address: str, data: bytes) -> Response:
    """Sends a request on a new connection and returns the response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read_response(reader, data.split(b" ")[0].decode())
    except CONNECTION_ERRORS:
        return Response()
    finally:
        if writer is not None:
            writer.transport.abort()


class Fuzzer:
    """Sends mutated messages and records invalid responses.

    Args:
        site: Site to which the messages are sent.
        seed: Seed from which all messages are drawn.

    Attributes:
        sent_counts: Number of messages sent, by kind.
        response_counts: Number of responses, by status.
        invalid_responses: Descriptions of invalid responses.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.sent_counts = collections.Counter()
        self.response_counts = collections.Counter()
        self.invalid_responses: list[str] = []
        self._site = site
        self._seed = seed
        self._number = 0
        self._agents = site.list_addresses("agent-")
        self._controls = [
            site.instances[name]["address"]
            for name in site.instances
            if name.startswith("entry-")
        ]

    async def run(self, end_s: float) -> None:
        """Sends messages until a point of the monotonic clock, in seconds."""
        workers = [self._run_worker(end_s) for _ in range(WORKERS)]
        await asyncio.gather(*workers)

    async def _run_worker(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._number += 1
            # Seeding each message makes it independent of the order in which
            # the workers run.
            rng = random.Random(f"{self._seed}/{self._number}")
            send = self._send_http
            if rng.random() < INTERNAL_MESSAGE_SHARE:
                send = rng.choice(
                    (self._send_bytes, self._send_batches, self._send_heartbeat)
                )
            self.sent_counts[send.__name__.removeprefix("_send_")] += 1
            with contextlib.suppress(*CONNECTION_ERRORS):
                async with asyncio.timeout(4 * READ_TIMEOUT_S):
                    await send(rng)

    async def _send_http(self, rng: random.Random) -> None:
        host, _, port = rng.choice(self._site.entries).rpartition(":")
        reader, writer = await asyncio.open_connection(host, port)
        data = draw_input(rng)
        cut = rng.randrange(len(data)) if rng.random() < 0.2 else 0
        try:
            writer.write(data[:cut] if cut else data)
            if cut and rng.random() < 0.5:
                # Close the connection within the request.
                return
            if cut:
                await asyncio.sleep(rng.random() * 0.2)
                writer.write(data[cut:])
            async with asyncio.timeout(READ_TIMEOUT_S):
                is_head = data.lstrip().startswith(b"HEAD ")
                response = await read_response(
                    reader, "HEAD" if is_head else "POST"
                )
            self._check(response, data)
        except TimeoutError:
            self.response_counts["none"] += 1
        except (OSError, EOFError):
            self.response_counts["closed"] += 1
        finally:
            writer.transport.abort()

    def _check(self, response: Response, data: bytes) -> None:
        """Checks that an error is an expected one with a code and a verdict."""
        self.response_counts[str(response.status)] += 1
        headers = dict(response.headers)
        # Errors of backend servers have other codes and no verdict.
        is_coded = not response.body or response.code
        is_invalid = (
            response.status == 500
            or response.code in ("CP1219", "CP1999")
            or (response.code.startswith("CP") and "x-verdict" not in headers)
            or (response.status in (429, 503) and "retry-after" not in headers)
        )
        if response.status >= 400 and (is_invalid or not is_coded):
            self.invalid_responses.append(
                f"{response!r:.300} to {data[:300]!r}"
            )

    async def _send_bytes(self, rng: random.Random) -> None:
        address = rng.choice(self._agents + self._controls)
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, port)
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"
        writer.write(rng.choice((b"", preface)))
        writer.write(rng.randbytes(rng.randint(1, 2_000)))
        await asyncio.sleep(rng.random() * 0.05)
        writer.transport.abort()

    async def _send_batches(self, rng: random.Random) -> None:
        host, _, port = rng.choice(self._agents).rpartition(":")
        channel = Channel(host, int(port))
        try:
            async with RelayStub(channel).Exchange.open(timeout=2) as stream:
                for _ in range(rng.randint(1, 20)):
                    await stream.send_message(draw_batch(rng))
                await stream.recv_message()
                await stream.cancel()
        finally:
            channel.close()

    async def _send_heartbeat(self, rng: random.Random) -> None:
        host, _, port = rng.choice(self._controls).rpartition(":")
        channel = Channel(host, int(port))
        try:
            message = draw_heartbeat(rng)
            await ControlStub(channel).Heartbeat(message, timeout=1)
        finally:
            channel.close()


async def check_valid_requests(site: Site, name: str) -> list[str]:
    """Sends valid requests and returns descriptions of the wrong responses.

    Args:
        site: The site.
        name: Prefix of the idempotency keys.
    """
    failures = []
    for address in site.entries:
        for data in make_valid_requests(TOKEN):
            response = await send_request(address, data)
            if response.status != 200:
                failures.append(f"{response!r:.300} to {data[:100]!r}")
    for number in range(WRITES_PER_CHECK):
        key = f"{name}-{number}"
        data = make_write(TOKEN, key)
        # Both entries must return the same response for the same key.
        bodies = {
            (await send_request(entry, data)).body for entry in site.entries
        }
        if len(bodies) != 1 or key.encode() not in next(iter(bodies)):
            failures.append(f"{bodies!r:.300} to the write {key}")
        for reuse in make_key_reuses(TOKEN, key):
            response = await send_request(site.entries[0], reuse)
            if (response.status, response.code) != (422, "CP1601"):
                failures.append(f"{response!r:.300} to the reuse {reuse!r}")
    return failures


async def find_repeated_executions(site: Site) -> list[str]:
    """Returns the idempotency keys that were executed more than once."""
    keys: collections.Counter[str] = collections.Counter()
    for address in site.list_addresses("service-"):
        _, document = await request_json(address, "/records")
        for record in document["records"]:
            if record["path"].startswith("/quotes") and record["method"] in (
                "POST",
                "PUT",
                "PATCH",
                "DELETE",
            ):
                keys[record["idempotency_key"]] += 1
    return [key for key, count in keys.items() if count > 1]


def read_memory_mb(fleet: Fleet) -> dict[str, float]:
    """Returns the resident memory of the daemons in MB."""
    memory = {}
    for name, member in fleet.members.items():
        if name.startswith(("entry-", "agent-")):
            path = pathlib.Path(f"/proc/{member.process.pid}/status")
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    memory[name] = int(line.split()[1]) / 1_000
    return memory


async def count_in_progress(site: Site) -> float:
    """Returns the number of requests in progress at all entries.

    Returns -1 if the metrics of an entry cannot be read.
    """
    total = 0.0
    data = b"GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n"
    for address in site.entries:
        response = await send_request(address, data)
        if response.status != 200:
            return -1.0
        for line in response.body.decode().splitlines():
            if line.startswith("chicoryplank_requests_in_progress "):
                total += float(line.split()[1])
    return total


async def wait_until_idle(site: Site, limit_s: float = 15) -> float:
    """Waits until no request is in progress; returns the last count."""
    end_s = time.monotonic() + limit_s
    while (count := await count_in_progress(site)) != 0:
        if time.monotonic() > end_s:
            break
        await asyncio.sleep(0.2)
    return count


def find_violations(fleet: Fleet) -> list[str]:
    """Returns the log lines of event 1004, a violated invariant."""
    return [
        line
        for name in fleet.members
        for line in fleet.read_log(name, 1_000_000).splitlines()
        if '"event": 1004' in line
    ]


async def run(options: argparse.Namespace) -> dict:
    """Starts a site, sends mutated messages and returns the summary."""
    settings = {"limits": LIMIT_SETTINGS, "drain_timeout_s": 1}
    if options.secret:
        # The internal messages lack this secret, so the site must reject them.
        settings["shared_secret"] = (
            random.Random(options.seed).randbytes(16).hex()
        )
    site_options = SiteOptions(
        entries=2,
        engines=1,
        entry_settings={**settings, "address_ttl_s": 1},
        agent_settings=settings,
    )
    with tempfile.TemporaryDirectory(prefix="chicoryplank-fuzz-") as name:
        folder = pathlib.Path(name)
        with Fleet(folder) as fleet:
            site = Site(fleet, folder, site_options)
            try:
                await site.start()
                await configure(fleet, site, folder)
                await site.wait_until_ready()
                return await _fuzz(fleet, site, options)
            finally:
                await site.close()


async def _fuzz(fleet: Fleet, site: Site, options: argparse.Namespace) -> dict:
    fuzzer = Fuzzer(site, options.seed)
    failures_before = await check_valid_requests(site, "before")
    # Memory is measured after one second of traffic, when buffers and caches
    # have reached their usual size.
    await fuzzer.run(time.monotonic() + 1)
    before = read_memory_mb(fleet)
    report(f"{options.seconds:g} s of mutated messages")
    await fuzzer.run(time.monotonic() + options.seconds)
    in_progress = await wait_until_idle(site)
    ended = fleet.list_ended()
    after = read_memory_mb(fleet) if not ended else {}
    growth = {name: after[name] - before[name] for name in after}
    failures = await check_valid_requests(site, "after")
    violations = find_violations(fleet)
    doubled = await find_repeated_executions(site)
    for name in ended:
        report(f"{name} has ended, log:\n{fleet.read_log(name)}")
    largest = max(growth.values(), default=0.0)
    return {
        "ok": not (
            failures_before or failures or ended or violations or doubled
        )
        and not fuzzer.invalid_responses
        and in_progress == 0
        and largest <= MAX_GROWTH_MB,
        "seed": options.seed,
        "seconds": options.seconds,
        "sent": dict(sorted(fuzzer.sent_counts.items())),
        "answers": dict(sorted(fuzzer.response_counts.items())),
        "faults": len(fuzzer.invalid_responses),
        "wrong": len(failures_before) + len(failures),
        "doubled": len(doubled),
        "ended": ended,
        "violations": len(violations),
        "in_progress": in_progress,
        "growth_mb": {
            name: round(size_mb, 1) for name, size_mb in growth.items()
        },
        "growth_bound_mb": MAX_GROWTH_MB,
        "examples": (
            violations + failures_before + failures + fuzzer.invalid_responses
        )[:MAX_EXAMPLES],
    }


def main() -> int:
    """Runs the tool and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument(
        "--secret",
        action="store_true",
        help="protect the internal messages of the site with a shared secret",
    )
    options = parser.parse_args()
    try:
        summary = asyncio.run(run(options))
    except FleetError as error:
        summary = {"ok": False, "error": str(error)}
    print(json.dumps(summary))
    return 0 if summary["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
