"""Two requests at a time share a prompt part that crashes replicas."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as st  # noqa: E402

SERVICE = "dele69a"
PATH = "/note/"
REPLICAS = 8
# Time in seconds after which a replica that has crashed is back.
BACK_S = 2.0
# Time in seconds from the start of a request to its first event.
FIRST_EVENT_S = 0.06
TIMEOUT_S = 2.0
# Time after a timeout by which a request must be answered, in seconds.
SLACK_S = 0.5
WAVES = 3
# Time between two waves of harmful requests, in seconds.
WAVE_GAP_S = 3.0
# Time between the two requests of a wave, in seconds.
PAIR_GAP_S = 0.02
SOUND_PER_S = 15.0
# Parts of prompts: all requests share one, a drawing crashes replicas, and
# some requests bring a glossary.
SHARED = "5c1e07a2:40"
DRAWING = "0dead0d1"
GLOSSARY = "aa10c0de:60"


class Replica:
    """Model replica that crashes as it begins an answer on the drawing."""

    def __init__(self, bench: st.Bench, store: st.Store, number: int) -> None:
        self.name = f"i-{number:08x}"
        self._bench = bench
        self._store = store
        self._sequence = 0
        self._is_up = False
        self._born_ms = 0
        self._tasks: set[asyncio.Task] = set()
        address = bench.make_address(bench.make_host())
        self._server = st.Server(address, self._handle)
        self.has_trouble = True

    async def start(self) -> None:
        """Listens, registers, and writes its registration regularly."""
        await self._server.start()
        self._is_up = True
        self._born_ms = int(time.time() * 1000)
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
                "slots": 6,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            self._store.put(f"servers/{self.name}", document)
            await asyncio.sleep(st.HEARTBEAT_S)

    async def _crash(self, request_id: str) -> None:
        self._bench.record.add(f"{self.name} crashes under {request_id}")
        self._is_up = False
        self._server.stop()
        await asyncio.sleep(BACK_S)
        await self.start()
        self._bench.record.add(f"{self.name} is back")

    async def _handle(self, request, writer) -> bool:
        request_id = request.headers.get("chicoryplank-request-id", "")
        head = {
            "Chicoryplank-Request-Id": request_id,
            "Chicoryplank-Instance-Id": self.name,
        }
        if request.headers.get("chicoryplank-expect-instance") != self.name:
            writer.write(st.encode("HTTP/1.1 421 Misdirected", head))
            return True
        await asyncio.sleep(FIRST_EVENT_S)
        parts = request.headers["chicoryplank-prompt-prefix"].split(",")[:-1]
        if self.has_trouble and any(p.startswith(DRAWING) for p in parts):
            self._add_task(self._crash(request_id))
            await asyncio.sleep(1)
            return False
        lines = [
            "HTTP/1.1 200 OK",
            f"Chicoryplank-Request-Id: {request_id}",
            f"Chicoryplank-Response-Seal: {self.name}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(5):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
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
                "timeout-ms": TIMEOUT_S * 1000,
                "target-latency-ms": 402,
                "priority": 1,
                "service": SERVICE,
                "max-attempts": 1,
                "public": False,
                "session-affinity": True,
                "gap-aim-ms": 120,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health-check": "/health",
                "max-connections": 408,
                "engine": {"slots": 6, "stride": 5, "models": [{"name": "m"}]},
            }
        ],
        "limits": {},
        "tenants": [{"name": st.TENANT, "api-keys": [st.KEY]}],
    }


class Clients:
    """Clients of the two entries.

    Args:
        bench: Bench, for the record.
        entries: Addresses of the entries.
    """

    def __init__(self, bench: st.Bench, entries: list[str]) -> None:
        self._bench = bench
        self._entries = entries
        self._number = 0
        self.tasks: list[asyncio.Task] = []
        self.answers: list[tuple[str, str, st.Answer]] = []

    def send(self, entry: int, kind: str, *parts: str) -> None:
        """Sends a request whose prompt has some parts and one of its own."""
        self.tasks.append(asyncio.ensure_future(self._send(entry, kind, parts)))

    async def _send(self, entry: int, kind: str, parts: tuple) -> None:
        self._number += 1
        number = self._number
        prompt = ",".join([*parts, f"{0xE0000000 + number:x}:250"])
        headers = {
            "Chicoryplank-Model": "m",
            "Chicoryplank-Token-Count": "674,140",
            "Chicoryplank-Prompt-Prefix": prompt,
        }
        answer = await st.send_request(
            self._entries[entry],
            "POST",
            f"{PATH}2f",
            deadline_ms=4000,
            wait_s=TIMEOUT_S + 1.5,
            headers=headers,
            body=f"question {number}".encode(),
        )
        took_s = (answer.ended_s or time.monotonic()) - answer.sent_s
        self._bench.record.add(
            f"{kind} {answer.request_id} at entry-{entry + 1}: "
            f"{answer.status} {answer.end} after {took_s:.3f} s"
        )
        self.answers.append((f"entry-{entry + 1}", kind, answer))

    async def send_sound(self, seconds: float) -> None:
        """Sends sound requests at both entries for some seconds."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for entry in range(len(self._entries)):
                self.send(entry, "sound", SHARED)
            await asyncio.sleep(1 / SOUND_PER_S)


async def main(bench: st.Bench, has_trouble: bool) -> str | None:
    """Runs the case; returns what broke the rule."""
    store = st.Store(bench.make_address(bench.make_host()))
    await store.start()
    store.put("op/config", make_config())
    replicas = [Replica(bench, store, n) for n in range(REPLICAS)]
    for replica in replicas:
        replica.has_trouble = has_trouble
        await replica.start()
    entries = [
        bench.start_entry(f"entry-{n}", bench.make_host(), store.server.address)
        for n in (1, 2)
    ]
    for entry in entries:
        await st.wait_ready(entry["ready"])
    clients = Clients(bench, [entry["front"] for entry in entries])
    # Sound requests share the other parts of the harmful ones.
    for _ in range(5):
        clients.send(0, "sound", SHARED, GLOSSARY)
        await asyncio.sleep(0.1)
    await clients.send_sound(st.CONTACT_S)
    for wave in range(WAVES):
        bench.record.add(f"wave {wave + 1}")
        clients.send(0, "harmful", SHARED, f"{DRAWING}:100", GLOSSARY)
        await asyncio.sleep(PAIR_GAP_S)
        clients.send(0, "harmful", SHARED, f"{DRAWING}:100")
        await clients.send_sound(WAVE_GAP_S)
    bench.record.add("judged from here")
    judged_s = time.monotonic()
    cpu_s = bench.measure_cpu_s("entry-1")
    await clients.send_sound(6.0)
    cpu_s = bench.measure_cpu_s("entry-1") - cpu_s
    await asyncio.gather(*clients.tasks)
    is_ready = await st.ask_ready(entries[0]["ready"])
    bench.record.add(
        f"entry-1: ready {is_ready}, processor time in 6 s: {cpu_s:.2f} s"
    )
    return judge(bench, clients, judged_s)


def judge(bench: st.Bench, clients: Clients, judged_s: float) -> str | None:
    """Applies the rule CONFIG to the sound requests of each entry."""
    broken = []
    for entry in ("entry-1", "entry-2"):
        took_s = [
            float("inf") if a.ended_s is None else a.ended_s - a.sent_s
            for name, kind, a in clients.answers
            if name == entry and kind == "sound" and a.sent_s >= judged_s
        ]
        late = [t for t in took_s if t > TIMEOUT_S]
        unanswered = [t for t in late if t > TIMEOUT_S + SLACK_S]
        text = (
            f"{entry}: {len(took_s)} sound requests, {len(late)} unanswered at "
            f"the timeout, {len(unanswered)} of these 0.5 s later"
        )
        bench.record.add(text)
        if len(late) >= 8 and len(unanswered) > len(late) / 2:
            broken.append(text)
    return "; ".join(broken) or None


if __name__ == "__main__":
    st.run_case(FOLDER, main)
