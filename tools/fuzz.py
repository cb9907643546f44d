"""Sends seeded random mutations of valid messages to a small site.

Afterwards the site must answer right requests as before: no process ended,
memory is bounded, no invariant was violated (event 1004), and no request is
left in progress. Prints one JSON line and ends with 0 only if all holds.
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
    make_requests,
    make_reuses,
    make_write,
)
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from layout import Site, SiteOptions

from chicoryplank_wire.control_grpc import ControlStub
from chicoryplank_wire.relay_grpc import RelayStub

WORKERS = 8
READ_LIMIT_S = 1.0
RIGHT_LIMIT_S = 10.0
# The share of control in a daemon's memory, by docs/design.md section 1.7.
MAX_GROWTH_MB = 32
MAX_EXAMPLES = 5
INTERNAL_SHARE = 0.25
RIGHT_WRITES = 10
BROKEN = (
    OSError,
    EOFError,
    ValueError,
    GRPCError,
    StreamTerminatedError,
    asyncio.LimitOverrunError,
)
LIMITS = {
    "default_timeout_s": 5,
    "max_timeout_s": 10,
    "body_timeout_s": 1,
    "header_timeout_s": 1,
    "write_timeout_s": 2,
    "max_connections": 200,
}


def report(text: str) -> None:
    """Prints what happens on standard error."""
    print(f"fuzz: {text}", file=sys.stderr, flush=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A response; status 0 if there is none."""

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def code(self) -> str:
        """Code of the error; empty if the body has none."""
        try:
            return json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""


async def read_response(
    reader: asyncio.StreamReader, method: str = "POST"
) -> Answer:
    """Returns the next response."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    pairs = tuple(tuple(line.lower().split(": ", 1)) for line in lines)
    headers = dict(pairs)
    status = int(first.split()[1])
    if method == "HEAD" or status == 100:
        return Answer(status, pairs)
    if "content-length" in headers:
        size = int(headers["content-length"])
        return Answer(status, pairs, await reader.readexactly(size))
    pieces = []
    while size := int(await reader.readline(), 16):
        pieces.append((await reader.readexactly(size + 2))[:-2])
    await reader.readline()
    return Answer(status, pairs, b"".join(pieces))


async def ask(address: str, data: bytes) -> Answer:
    """Sends a request and returns the response."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(RIGHT_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read_response(reader, data.split(b" ")[0].decode())
    except BROKEN:
        return Answer()
    finally:
        if writer is not None:
            writer.transport.abort()


class Fuzzer:
    """Sends wrong messages and keeps what was wrong with the responses.

    Args:
        site: The site.
        seed: Seed of all messages.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.sent = collections.Counter()
        self.answers = collections.Counter()
        self.faults: list[str] = []
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
        """Sends messages until a monotonic time, in seconds."""
        workers = [self._work(end_s) for _ in range(WORKERS)]
        await asyncio.gather(*workers)

    async def _work(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._number += 1
            # The messages do not depend on the order of the workers.
            source = random.Random(f"{self._seed}/{self._number}")
            send = self._send_http
            if source.random() < INTERNAL_SHARE:
                send = source.choice(
                    (self._send_bytes, self._send_batches, self._send_heartbeat)
                )
            self.sent[send.__name__.removeprefix("_send_")] += 1
            with contextlib.suppress(*BROKEN):
                async with asyncio.timeout(4 * READ_LIMIT_S):
                    await send(source)

    async def _send_http(self, source: random.Random) -> None:
        host, _, port = source.choice(self._site.entries).rpartition(":")
        reader, writer = await asyncio.open_connection(host, port)
        data = draw_input(source)
        cut = source.randrange(len(data)) if source.random() < 0.2 else 0
        try:
            writer.write(data[:cut] if cut else data)
            if cut and source.random() < 0.5:
                # Gone in the midst of a request.
                return
            if cut:
                await asyncio.sleep(source.random() * 0.2)
                writer.write(data[cut:])
            async with asyncio.timeout(READ_LIMIT_S):
                is_head = data.lstrip().startswith(b"HEAD ")
                answer = await read_response(
                    reader, "HEAD" if is_head else "POST"
                )
            self._check(answer, data)
        except TimeoutError:
            self.answers["none"] += 1
        except (OSError, EOFError):
            self.answers["closed"] += 1
        finally:
            writer.transport.abort()

    def _check(self, answer: Answer, data: bytes) -> None:
        """Every error has a code and a verdict; none is unexpected."""
        self.answers[str(answer.status)] += 1
        headers = dict(answer.headers)
        # Backend servers answer with codes of their own and no verdict.
        is_coded = not answer.body or answer.code
        is_wrong = (
            answer.status == 500
            or answer.code in ("CP1219", "CP1999")
            or (answer.code.startswith("CP") and "x-verdict" not in headers)
            or (answer.status in (429, 503) and "retry-after" not in headers)
        )
        if answer.status >= 400 and (is_wrong or not is_coded):
            self.faults.append(f"{answer!r:.300} to {data[:300]!r}")

    async def _send_bytes(self, source: random.Random) -> None:
        address = source.choice(self._agents + self._controls)
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, port)
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"
        writer.write(source.choice((b"", preface)))
        writer.write(source.randbytes(source.randint(1, 2_000)))
        await asyncio.sleep(source.random() * 0.05)
        writer.transport.abort()

    async def _send_batches(self, source: random.Random) -> None:
        host, _, port = source.choice(self._agents).rpartition(":")
        channel = Channel(host, int(port))
        try:
            async with RelayStub(channel).Exchange.open(timeout=2) as stream:
                for _ in range(source.randint(1, 20)):
                    await stream.send_message(draw_batch(source))
                await stream.recv_message()
                await stream.cancel()
        finally:
            channel.close()

    async def _send_heartbeat(self, source: random.Random) -> None:
        host, _, port = source.choice(self._controls).rpartition(":")
        channel = Channel(host, int(port))
        try:
            message = draw_heartbeat(source)
            await ControlStub(channel).Heartbeat(message, timeout=1)
        finally:
            channel.close()


async def find_wrong(site: Site, name: str) -> list[str]:
    """Returns what is wrong with the responses to right requests."""
    wrong = []
    for address in site.entries:
        for data in make_requests(TOKEN):
            answer = await ask(address, data)
            if answer.status != 200:
                wrong.append(f"{answer!r:.300} to {data[:100]!r}")
    for number in range(RIGHT_WRITES):
        key = f"{name}-{number}"
        data = make_write(TOKEN, key)
        # The same call through both entries gives the same response.
        bodies = {(await ask(item, data)).body for item in site.entries}
        if len(bodies) != 1 or key.encode() not in next(iter(bodies)):
            wrong.append(f"{bodies!r:.300} to the write {key}")
        for other in make_reuses(TOKEN, key):
            answer = await ask(site.entries[0], other)
            if (answer.status, answer.code) != (422, "CP1601"):
                wrong.append(f"{answer!r:.300} to the reuse {other!r}")
    return wrong


async def find_doubled(site: Site) -> list[str]:
    """Returns the keys that ran more than once."""
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
    """Returns the requests in progress at all entries."""
    total = 0.0
    data = b"GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n"
    for address in site.entries:
        answer = await ask(address, data)
        if answer.status != 200:
            return -1.0
        for line in answer.body.decode().splitlines():
            if line.startswith("chicoryplank_requests_in_progress "):
                total += float(line.split()[1])
    return total


async def wait_until_idle(site: Site, limit_s: float = 15) -> float:
    """Returns the requests in progress once there are none, or at the end."""
    end_s = time.monotonic() + limit_s
    while (count := await count_in_progress(site)) != 0:
        if time.monotonic() > end_s:
            break
        await asyncio.sleep(0.2)
    return count


def find_violations(fleet: Fleet) -> list[str]:
    """Returns the log lines of event 1004."""
    return [
        line
        for name in fleet.members
        for line in fleet.read_log(name, 1_000_000).splitlines()
        if '"event": 1004' in line
    ]


async def run(options: argparse.Namespace) -> dict:
    """Runs the site under fuzz and returns the findings."""
    settings = {"limits": LIMITS, "drain_timeout_s": 1}
    if options.secret:
        # The internal messages then lack the secret and must be rejected.
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
    wrong_before = await find_wrong(site, "before")
    # Buffers and caches reach their usual size in the first second.
    await fuzzer.run(time.monotonic() + 1)
    before = read_memory_mb(fleet)
    report(f"{options.seconds:g} s of wrong messages")
    await fuzzer.run(time.monotonic() + options.seconds)
    in_progress = await wait_until_idle(site)
    ended = fleet.find_ended()
    after = read_memory_mb(fleet) if not ended else {}
    growth = {name: after[name] - before[name] for name in after}
    wrong = await find_wrong(site, "after")
    violations = find_violations(fleet)
    doubled = await find_doubled(site)
    for name in ended:
        report(f"{name} has ended:\n{fleet.read_log(name)}")
    largest = max(growth.values(), default=0.0)
    return {
        "ok": not (wrong_before or wrong or ended or violations or doubled)
        and not fuzzer.faults
        and in_progress == 0
        and largest <= MAX_GROWTH_MB,
        "seed": options.seed,
        "seconds": options.seconds,
        "sent": dict(sorted(fuzzer.sent.items())),
        "answers": dict(sorted(fuzzer.answers.items())),
        "faults": len(fuzzer.faults),
        "wrong": len(wrong_before) + len(wrong),
        "doubled": len(doubled),
        "ended": ended,
        "violations": len(violations),
        "in_progress": in_progress,
        "growth_mb": {name: round(item, 1) for name, item in growth.items()},
        "growth_bound_mb": MAX_GROWTH_MB,
        "examples": (violations + wrong_before + wrong + fuzzer.faults)[
            :MAX_EXAMPLES
        ],
    }


def main() -> int:
    """Runs the tool and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument(
        "--secret", action="store_true", help="let the site use a secret"
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
