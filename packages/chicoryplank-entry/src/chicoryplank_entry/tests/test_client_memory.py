"""Tests that clients cannot make an entry exceed the memory of its machine.

Load pattern: a crowd of clients that stop just short of the end of a request,
send far more than is allowed, or only connect.
"""

import asyncio
import contextlib
import json
import pathlib
import resource
import sys
import tempfile

import testtools

from chicoryplank_wire.tests.crowd import (
    Crowd,
    ProcessWatch,
    send_request,
    split_chunked,
    wait_for_answer,
)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[5] / "tools"))
import fleet  # noqa: E402
import layout  # noqa: E402

_MACHINE_BYTES = 200_000_000
_FEW_DESCRIPTORS = 400
_BODY_BYTES = 4_194_304
_BODY = b"x" * _BODY_BYTES
# A body that takes many times its size while it is parsed.
_OBJECTS = b'{"model": "toolroom", "messages": [' + b"[]," * 1_300_000
_CLIENTS = 64
_MANY_CLIENTS = 600
_PART_BYTES = 65_536
# Two bytes of a body in each chunk.
_TINY_CLIENTS = 40
_TINY_BODY = b"x" * 524_288
_TOKEN = "crowd-token"
_START_LIMIT_S = 30


async def _configure(processes, site, folder):
    """Plans and confirms the first configuration."""
    (folder / "intent.json").write_text(
        json.dumps(layout.make_intent(site.options, _TOKEN))
    )
    stores = ("--store", site.addresses["store"])
    stores += ("--instance-list", site.addresses["instances"])
    plan = str(folder / "plan.json")
    for command in (
        ("plan", *stores, "--output", plan, str(folder / "intent.json")),
        ("confirm", *stores, "--operator", "tests", plan),
    ):
        code, output = await processes.call("chicoryplank", *command)
        if code:
            raise AssertionError(output)


@contextlib.contextmanager
def _limit_descriptors(count):
    """Limits the descriptors of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, soft), hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextlib.asynccontextmanager
async def _run_site(max_descriptors):
    """Runs one entry with a model server and a plain service.

    Yields:
        Address and process id of the entry.
    """
    limits = {"max_body_bytes": _BODY_BYTES, "memory_bytes": _MACHINE_BYTES}
    options = layout.SiteOptions(
        entries=1,
        engines=1,
        services=1,
        entry_settings={"limits": limits},
        agent_settings={"limits": {"max_body_bytes": _BODY_BYTES}},
    )
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        processes = stack.enter_context(fleet.Fleet(folder))
        site = layout.Site(processes, folder, options)
        with _limit_descriptors(max_descriptors):
            await site.start(_START_LIMIT_S)
        await _configure(processes, site, folder)
        await site.wait_until_ready(_START_LIMIT_S)
        yield site.entries[0], processes.members["entry-1"].process.pid
        if processes.list_ended():
            raise AssertionError(f"ended: {processes.list_ended()}")


def _make_head(path, fields="", method="POST"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {_TOKEN}\r\n{fields}\r\n"
    ).encode()


def _make_request(body=b""):
    """Returns a call of the plain service."""
    path = "/v1/services/tablets/cards/1"
    return _make_head(path, f"Content-Length: {len(body)}\r\n") + body


def _split(body):
    return [
        body[start : start + _PART_BYTES]
        for start in range(0, len(body), _PART_BYTES)
    ]


class TestClientMemory(testtools.TestCase):
    """Tests an entry process against crowds of clients."""

    def _run(self, clients, parts, max_descriptors=4_096):
        """Checks the process while and after a crowd presses.

        Args:
            clients: Number of clients.
            parts: Parts that each of them sends.
            max_descriptors: Descriptors that the process may open.
        """

        async def run():
            async with _run_site(max_descriptors) as (address, pid):
                with ProcessWatch(pid, [address]) as watch:
                    async with Crowd(address, clients, parts):
                        status = await wait_for_answer(address, _make_request)
                return watch, status

        watch, status = asyncio.run(run())
        self.assertEqual(200, status)
        self.assertLessEqual(watch.peak_bytes, _MACHINE_BYTES)
        self.assertLessEqual(watch.peak_descriptors, max_descriptors)

    def test_bodies_with_a_length(self):
        """Guards against memory for bodies that stop before their end."""
        request = _make_request(_BODY)
        self._run(_CLIENTS, _split(request[:-1]))

    def test_bodies_in_large_chunks(self):
        """Guards against memory for bodies without their last chunk."""
        head = _make_head(
            "/v1/services/tablets/cards/1", "Transfer-Encoding: chunked\r\n"
        )
        self._run(_CLIENTS, [head, *split_chunked(_BODY, _PART_BYTES)])

    def test_bodies_in_tiny_chunks(self):
        """Guards against objects that take more memory than their bytes."""
        head = _make_head(
            "/v1/services/tablets/cards/1", "Transfer-Encoding: chunked\r\n"
        )
        self._run(_TINY_CLIENTS, [head, *split_chunked(_TINY_BODY, 2)])

    def test_bodies_over_the_limit_sent(self):
        """Guards against memory for bodies that go on beyond the limit."""
        head = _make_head(
            "/v1/services/tablets/cards/1", "Transfer-Encoding: chunked\r\n"
        )
        self._run(_CLIENTS, [head, *split_chunked(_BODY, _PART_BYTES) * 16])

    def test_bodies_of_small_objects(self):
        """Guards against the memory that parsing a complete body takes."""
        body = _OBJECTS + b"[]]}"
        head = _make_head(
            "/v1/chat/completions", f"Content-Length: {len(body)}\r\n"
        )
        self._run(_CLIENTS, [head, *_split(body)])

    def test_pipelined_bodies(self):
        """Guards against requests that are queued on their connection."""
        request = _make_request(b"x" * _PART_BYTES)
        self._run(4 * _CLIENTS, [request * 16])

    def test_idle_connections(self):
        """Guards against clients that use up the descriptors."""
        self._run(_MANY_CLIENTS, [], _FEW_DESCRIPTORS)

    def test_largest_body_in_calm(self):
        """Guards against a bound that refuses a request inside the limits."""

        async def run():
            async with _run_site(4_096) as (address, _):
                return await send_request(address, _make_request(_BODY))

        self.assertEqual(200, asyncio.run(run()))
