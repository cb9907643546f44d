"""A prompt part crashes replicas that have many streams in progress."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as st  # noqa: E402

SERVICE = "dele69a"
PATH = "/note/"
REPLICAS = 3
SLOTS = 12
# Time in seconds after which a replica that has crashed is back.
BACK_S = 2.5
# Time in seconds from the start of a request to its first event.
FIRST_EVENT_S = 0.06
EVENTS = 28
EVENT_GAP_S = 0.08
SOUND_PER_S = 10.0
HARMFUL_PER_S = 1.5
CALM_S = 6.0
TROUBLE_S = 40.0
# Bounds of the rule.
FREE_CRASHES = 5
MAX_LATE_REQUESTS = 3
# Parts of prompts: all requests share one, some share others, and a drawing
# crashes replicas.
SHARED = "5c1e07a2:40"
DRAWING = "0dead0d1"
OTHERS = tuple(f"aa10c0d{number}:60" for number in range(5))


class Harm:
    """What reaches replicas of the requests with the drawing.

    Attributes:
        is_on: Whether the drawing crashes replicas.
        crashes_s: Times of the crashes, in seconds.
        arrivals_s: Times at which such requests reach replicas, in seconds.
        lost: Sound requests that were in progress at crashes.
    """

    def __init__(self, is_on: bool) -> None:
        self.is_on = is_on
        self.crashes_s: list[float] = []
        self.arrivals_s: list[float] = []
        self.lost = 0


class Replica:
    """Model replica that crashes as it begins an answer on the drawing."""

    def __init__(
        self, bench: st.Bench, store: st.Store, harm: Harm, number: int
    ) -> None:
        self.name = f"i-{number:08x}"
        self._bench = bench
        self._store = store
        self._harm = harm
        self._sequence = 0
        self._is_up = False
        self._born_ms = 0
        self._running = 0
        self._tasks: set[asyncio.Task] = set()
        address = bench.make_address(bench.make_host())
        self._server = st.Server(address, self._handle)

    async def start(self) -> None:
        """Listens, registers, and writes its registration regularly."""
        await self._server.start()
        self._is_up = True
        self._born_ms = int(time.time() * 1000)
        self._running = 0
        self._add_task(self._report())

    def _add_task(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report(self) -> None:
        born_ms = self._born_ms
        while self._is_up and born_ms == self._born_ms:
            self._sequence += 1
            document = {
                "service": SERVICE,
                "address": self._server.address,
                "zone": st.ZONE,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            self._store.put(f"servers/{self.name}", document)
            await asyncio.sleep(st.HEARTBEAT_S)

    async def _crash(self, request_id: str) -> None:
        if not self._is_up:
            return
        self._is_up = False
        self._harm.crashes_s.append(time.monotonic())
        self._harm.lost += self._running
        self._bench.record.add(
            f"{self.name} crashes under {request_id} with {self._running} "
            f"sound requests"
        )
        self._server.stop()
        await asyncio.sleep(BACK_S)
        await self.start()

    async def _handle(self, request, writer) -> bool:
        request_id = request.headers.get("chicoryplank-request-id", "")
        head = {"Chicoryplank-Request-Id": request_id}
        if request.headers.get("chicoryplank-expect-instance") != self.name:
            writer.write(st.encode("HTTP/1.1 421 Misdirected", head))
            return True
        parts = request.headers["chicoryplank-prompt-prefix"].split(",")[:-1]
        if any(part.startswith(DRAWING) for part in parts):
            self._harm.arrivals_s.append(time.monotonic())
            if self._harm.is_on:
                await asyncio.sleep(FIRST_EVENT_S)
                self._add_task(self._crash(request_id))
                await asyncio.sleep(1)
                return False
        self._running += 1
        try:
            return await self._answer(request, request_id, writer)
        finally:
            self._running -= 1

    async def _answer(self, request, request_id: str, writer) -> bool:
        first = int(request.headers.get("last-event-id", "-1")) + 1
        lines = [
            "HTTP/1.1 200 OK",
            f"Chicoryplank-Request-Id: {request_id}",
            f"Chicoryplank-Response-Seal: {self.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, EVENTS):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        return True


def make_config() -> dict:
    """Returns the operator's config: one route to one model service."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-note",
                "hostname": st.HOST_NAME,
                "path-prefix": PATH,
                "kind": "streaming",
                "timeout-ms": 8000,
                "target-latency-ms": 402,
                "priority": 1,
                "service": SERVICE,
                "max-attempts": 2,
                "public": False,
                "session-affinity": True,
                "stream-resume": True,
                "gap-aim-ms": 120,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health-check": "/health",
                "max-connections": 408,
                "engine": {
                    "slots": SLOTS,
                    "stride": 5,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {},
        "tenants": [{"name": st.TENANT, "api-keys": [st.KEY]}],
    }


class Clients:
    """Clients of the entries.

    Args:
        bench: Bench, for the record.
        entries: Addresses of the entries.
    """

    def __init__(self, bench: st.Bench, entries: list[str]) -> None:
        self._bench = bench
        self._entries = entries
        self._number = 0
        self.tasks: list[asyncio.Task] = []
        self.ends: dict[tuple[str, str], int] = {}

    def send(self, kind: str, *parts: str) -> None:
        """Sends a request whose prompt has some parts and one of its own."""
        self._number += 1
        self.tasks.append(
            asyncio.ensure_future(self._send(self._number, kind, parts))
        )

    async def _send(self, number: int, kind: str, parts: tuple) -> None:
        prompt = ",".join([*parts, f"{0xE0000000 + number:x}:250"])
        answer = await st.send_request(
            random.choice(self._entries),
            "POST",
            f"{PATH}2f",
            deadline_ms=8000,
            wait_s=8.5,
            headers={
                "Chicoryplank-Model": "m",
                "Chicoryplank-Token-Count": "674,140",
                "Chicoryplank-Prompt-Prefix": prompt,
            },
            body=f"question {number}".encode(),
        )
        end = f"{answer.status} {answer.end}"
        self.ends[kind, end] = self.ends.get((kind, end), 0) + 1
        self._bench.record.add(f"{kind} {answer.request_id}: {end}")

    async def send_sound(self, seconds: float) -> None:
        """Sends sound requests for some seconds, at random times."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self.send("sound", SHARED, random.choice(OTHERS))
            await asyncio.sleep(random.expovariate(SOUND_PER_S))

    async def send_harmful(self, seconds: float) -> None:
        """Sends requests with the drawing for some seconds."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(random.expovariate(HARMFUL_PER_S))
            parts = (SHARED, f"{DRAWING}:100", random.choice(OTHERS))
            self.send("harmful", *parts)


async def main(bench: st.Bench, has_trouble: bool) -> str | None:
    """Runs the case; returns what broke the rule."""
    store = st.Store(bench.make_address(bench.make_host()))
    await store.start()
    store.put("op/config", make_config())
    harm = Harm(has_trouble)
    replicas = [Replica(bench, store, harm, n) for n in range(REPLICAS)]
    for replica in replicas:
        await replica.start()
    entries = [
        bench.start_entry(f"entry-{n}", bench.make_host(), store.server.address)
        for n in (1, 2)
    ]
    for entry in entries:
        await st.wait_ready(entry["ready"])
    clients = Clients(bench, [entry["front"] for entry in entries])
    await clients.send_sound(CALM_S)
    await asyncio.gather(
        clients.send_sound(TROUBLE_S), clients.send_harmful(TROUBLE_S)
    )
    await asyncio.gather(*clients.tasks)
    return judge(bench, clients, harm)


def judge(bench: st.Bench, clients: Clients, harm: Harm) -> str | None:
    """Applies the rule BUDGET to the requests with the drawing."""
    bench.record.add(f"ends: {clients.ends}")
    if harm.is_on and len(harm.crashes_s) < FREE_CRASHES:
        bench.record.add(f"{len(harm.crashes_s)} crashes")
        return None
    if not harm.is_on:
        return None
    since_s = harm.crashes_s[FREE_CRASHES - 1] + st.CONTACT_S
    late = [item for item in harm.arrivals_s if item > since_s]
    text = (
        f"{len(late)} requests with the part reach replicas later than "
        f"{st.CONTACT_S} s after the fifth crash; {len(harm.crashes_s)} "
        f"crashes, with {harm.lost} sound requests in progress"
    )
    bench.record.add(text)
    return text if len(late) > MAX_LATE_REQUESTS else None


if __name__ == "__main__":
    st.run_case(FOLDER, main)
