"""Load of sound and harmful requests on an entry with crashing replicas."""

import asyncio
import dataclasses

from chicoryplank.traffic import RequestKind
from chicoryplank_entry.forwarding.tests.crashing_replica import (
    CrashingReplica,
)
from chicoryplank_entry.forwarding.tests.harness import EntryFixture

# Time in seconds within which all entries know what crashes replicas. The
# bound on the users' platform is contact-ms; replicas here restart ten times
# as fast.
CONTACT_S = 0.5


@dataclasses.dataclass
class LoadResult:
    """What replicas and callers have seen.

    Attributes:
        crashes: Times of all crashes.
        harmful_arrivals: Times at which harmful requests reached replicas.
        sound: Time of each sound request, and whether it was served.
        refusals: Status, headers and body of the responses to harmful requests
            that reached no replica.
    """

    crashes: list
    harmful_arrivals: list
    sound: list
    refusals: list

    def count_late_arrivals(self, crash_count):
        """Returns the harmful arrivals after a number of crashes are known."""
        known_s = self.crashes[crash_count - 1] + CONTACT_S
        return sum(at > known_s for at in self.harmful_arrivals)

    def get_served_share(self, crash_count):
        """Returns the share of later sound requests that were served."""
        known_s = self.crashes[crash_count - 1] + 2 * CONTACT_S
        served = [is_served for at, is_served in self.sound if at > known_s]
        return sum(served) / len(served)


async def send_load(
    is_harmful,
    make_fields,
    *,
    seconds=4.0,
    rate_per_s=30,
    replica_count=4,
    kind=RequestKind.STREAMING,
    begins=True,
):
    """Sends sound and harmful requests for a while.

    Args:
        is_harmful: Returns whether a request that a replica got crashes it.
        make_fields: Returns the arguments of `make_request` for the number of a
            request, and whether the request is harmful.
        seconds: Duration of the load.
        rate_per_s: Requests in each second.
        replica_count: Number of replicas.
        kind: Kind of the route.
        begins: Whether the response begins before the crash.
    """
    replicas = [
        CrashingReplica(is_harmful, begins=begins) for _ in range(replica_count)
    ]
    result = LoadResult([], [], [], [])
    async with EntryFixture(*replicas, kind=kind) as fixture:
        loop = asyncio.get_running_loop()

        async def send(number):
            fields, harmful = make_fields(number)
            sent_s = loop.time()
            response = await fixture.send_request(
                request_id=f"r{number}", **fields
            )
            if not harmful:
                status, _, body = response
                result.sound.append(
                    (sent_s, status == 200 and body is not None)
                )
            elif not any(
                recorded.headers["x-id"] == f"r{number}"
                for replica in replicas
                for _, recorded in replica.arrivals
            ):
                result.refusals.append(response)

        tasks = []
        for number in range(round(seconds * rate_per_s)):
            tasks.append(loop.create_task(send(number)))
            await asyncio.sleep(1 / rate_per_s)
        await asyncio.gather(*tasks)
        fixture.exchange.crashes.close()
    result.crashes = sorted(at for item in replicas for at in item.crashes)
    result.harmful_arrivals = sorted(
        at
        for replica in replicas
        for at, recorded in replica.arrivals
        if is_harmful(recorded)
    )
    return result
