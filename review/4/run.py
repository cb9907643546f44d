"""A replica is taken off the list while the store cuts waiting watches."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as st  # noqa: E402

SERVICE = "xano55b"
PATH = "/history/"
REPLICAS = 3
WORK_S = 0.045
DRAIN_S = 2.0
# Time for which a replica serves on after its entry was removed, in seconds.
SERVES_ON_S = 5.0
# Time after which the store cuts a waiting watch, in seconds.
CUT_AFTER_S = (0.2, 0.8)
ROUNDS = 5
REQUESTS_PER_S = 40.0


class CuttingStore(st.Store):
    """Store that may cut watches while they wait.

    Attributes:
        cuts_watches: Whether it does.
        cuts: Number of watches that it cut.
    """

    cuts_watches = False
    cuts = 0

    async def _handle(self, request, writer) -> bool:
        is_watch = request.first[1].startswith("/api/kv-watch")
        if not is_watch or not self.cuts_watches:
            return await super()._handle(request, writer)
        answer = asyncio.ensure_future(super()._handle(request, writer))
        limit_s = random.uniform(*CUT_AFTER_S)
        done, _ = await asyncio.wait({answer}, timeout=limit_s)
        if done:
            return answer.result()
        answer.cancel()
        self.cuts += 1
        # The channel is closed with a FIN, without an answer.
        writer.close()
        return False


class Replica:
    """Replica of a plain service."""

    def __init__(self, bench: st.Bench, store: st.Store, number: int) -> None:
        self.name = f"i-{number:08x}"
        self.arrivals: list[tuple[float, str]] = []
        self._store = store
        self._sequence = 0
        self._is_listed = True
        self._born_ms = int(time.time() * 1000)
        address = bench.make_address(bench.make_host())
        self.server = st.Server(address, self._handle)

    async def report(self) -> None:
        """Writes its registration regularly while it is listed."""
        while True:
            if self._is_listed:
                self._write()
            await asyncio.sleep(st.HEARTBEAT_S)

    def _write(self) -> None:
        self._sequence += 1
        document = {
            "service": SERVICE,
            "address": self.server.address,
            "zone": st.ZONE,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.name}", document)

    def leave(self) -> None:
        """Removes its registration; it serves on."""
        self._is_listed = False
        self._store.remove(f"servers/{self.name}")

    def come_back(self) -> None:
        """Registers as a new start under its id."""
        self._born_ms = int(time.time() * 1000)
        self._is_listed = True
        self._write()

    async def _handle(self, request, writer) -> bool:
        request_id = request.headers.get("chicoryplank-request-id", "")
        head = {"Chicoryplank-Request-Id": request_id}
        if request.headers.get("chicoryplank-expect-instance") != self.name:
            writer.write(st.encode("HTTP/1.1 421 Misdirected", head))
            return True
        client = request.headers.get("x-entry", "")
        self.arrivals.append((time.monotonic(), client))
        await asyncio.sleep(WORK_S)
        head["Chicoryplank-Response-Seal"] = f"{self.name}.{request_id}"
        writer.write(st.encode("HTTP/1.1 200 OK", head, request_id.encode()))
        return True


def make_config() -> dict:
    """Returns the operator's config: one route to a plain service."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-history",
                "hostname": st.HOST_NAME,
                "path-prefix": PATH,
                "kind": "idempotent",
                "timeout-ms": 800,
                "target-latency-ms": 202,
                "priority": 2,
                "service": SERVICE,
                "max-attempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health-check": "/health",
                "max-connections": 100,
            }
        ],
        "limits": {},
        "tenants": [{"name": st.TENANT, "api-keys": [st.KEY]}],
    }


async def send_all(entries: list[str], ends: dict[str, int]) -> None:
    """Sends requests at all entries, until cancelled."""
    tasks: set[asyncio.Task] = set()

    async def send(number: int) -> None:
        answer = await st.send_request(
            entries[number],
            "GET",
            f"{PATH}lo20/",
            deadline_ms=1514,
            wait_s=2.0,
            headers={"X-Entry": f"entry-{number + 1}"},
        )
        end = f"{answer.status} {answer.end}"
        ends[end] = ends.get(end, 0) + 1

    while True:
        for number in range(len(entries)):
            task = asyncio.ensure_future(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def main(bench: st.Bench, has_trouble: bool) -> str | None:
    """Runs the case; returns what broke the rule."""
    store = CuttingStore(bench.make_address(bench.make_host()))
    await store.start()
    store.put("op/config", make_config())
    replicas = [Replica(bench, store, n) for n in range(REPLICAS)]
    tasks = []
    for replica in replicas:
        await replica.server.start()
        tasks.append(asyncio.ensure_future(replica.report()))
    entries = [
        bench.start_entry(f"entry-{n}", bench.make_host(), store.server.address)
        for n in (1, 2)
    ]
    for entry in entries:
        await st.wait_ready(entry["ready"])
    ends: dict[str, int] = {}
    addresses = [entry["front"] for entry in entries]
    tasks.append(asyncio.ensure_future(send_all(addresses, ends)))
    await asyncio.sleep(st.CONTACT_S)
    store.cuts_watches = has_trouble
    await asyncio.sleep(st.CONTACT_S)
    late = []
    for number in range(ROUNDS):
        replica = replicas[number % REPLICAS]
        late += await _leave(bench, replica)
        replica.come_back()
        await asyncio.sleep(2.0 + random.random())
    bench.record.add(f"watches that were cut: {store.cuts}; answers: {ends}")
    for task in tasks:
        task.cancel()
    if not ends.get("200 complete"):
        raise st.CannotRunError("no request was answered")
    if not late:
        return None
    return (
        f"{len(late)} requests reach a replica later than {DRAIN_S} s after "
        f"its entry was removed, the last one after {max(late):.3f} s"
    )


async def _leave(bench: st.Bench, replica: Replica) -> list[float]:
    """Takes a replica off the list; returns late arrivals, in seconds."""
    replica.leave()
    left_s = time.monotonic()
    bench.record.add(f"the entry of {replica.name} is removed")
    await asyncio.sleep(SERVES_ON_S)
    after = [
        (at_s - left_s, entry)
        for at_s, entry in replica.arrivals
        if at_s > left_s + 0.5
    ]
    late = [(at_s, entry) for at_s, entry in after if at_s > DRAIN_S]
    bench.record.add(
        f"{replica.name}: {len(after)} requests later than 0.5 s, {len(late)} "
        f"later than {DRAIN_S} s: "
        + ", ".join(f"{at_s:.3f} s from {entry}" for at_s, entry in late)
    )
    return [at_s for at_s, _ in late]


if __name__ == "__main__":
    st.run_case(FOLDER, main)
