"""Replicas that count executions, and a test case that sends them requests."""

import asyncio
import json

import testtools

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.harness import (
    EntryFixture,
    Replica,
    make_head,
    make_request,
    read_response,
    respond,
    write_response,
)

_UNAVAILABLE = "503 Service Unavailable"
# Statuses, except 421, that tell a caller that its request did not run.
NOT_RUN_STATUSES = (
    "408 Request Timeout",
    "429 Too Many Requests",
    _UNAVAILABLE,
)


class RunningReplica(Replica):
    """Replica that counts the requests that it runs.

    Args:
        work: Asynchronous function of the replica, a request and the writer
            that responds to the request.

    Attributes:
        runs: Number of requests that ran.
    """

    def __init__(self, work):
        super().__init__()
        self.runs = 0

        async def script(recorded, writer):
            return await work(self, recorded, writer)

        self.scripts = [script]

    async def run(self, recorded, writer, status="200 OK", **options):
        """Runs a request and sends the response to it."""
        self.runs += 1
        return await respond(b"ran", status, **options)(recorded, writer)


async def send_rejection(
    recorded, writer, status=_UNAVAILABLE, request_id=None
):
    """Sends a rejection with another request id, or with none."""
    head = make_head(recorded, status, proof=False, extra=("X-Not-Run: 1",))
    head[1:2] = [] if request_id is None else [f"X-Id: {request_id}"]
    write_response(writer, head)
    await writer.drain()


class NotRunCase(testtools.TestCase):
    """Sends requests, by default non-idempotent ones, over one connection."""

    def send_requests(self, *replicas, count=1, **arguments):
        """Returns the status and the verdict of each response.

        The verdict is None if the response comes from a replica.
        """

        async def run():
            arguments.setdefault("kind", RequestKind.NON_IDEMPOTENT)
            results = []
            async with EntryFixture(*replicas, **arguments) as fixture:
                reader, writer = await fixture.connect()
                for number in range(count):
                    writer.write(make_request(request_id=f"7{number}"))
                    status, headers, body = await read_response(reader)
                    verdict = None
                    if headers.get("content-type") == "application/json":
                        verdict = json.loads(body)["error"]["verdict"]
                        self.assertNotIn("x-proof", headers)
                    results.append((status, verdict))
                writer.close()
            return results

        return asyncio.run(run())

    def count_runs(self, replicas):
        """Returns how often the replicas ran a request."""
        return sum(replica.runs for replica in replicas)
