"""Requests of the forwarding soak that crash the replicas they are sent to."""

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from soak_forwarding_faults import FaultContext
from soak_forwarding_judge import GuaranteeChecker, SentRequest

from chicoryplank_platform.tests.simulated_caller import Kind, Request
from chicoryplank_platform.tests.simulated_replica import (
    HARMFUL_MARK,
    SimulatedReplica,
)

# Bounds of the acceptance rules: crashes after which all entries must know a
# prompt part or a request, the time in seconds until they do, and the number
# of harmful requests that may be sent later.
_CRASHES_OF_PART = 5
_CRASHES_OF_REQUEST = 3
_NOTICE_S = 3.0
_MAX_LATE_ARRIVALS = 3
_MIN_SOUND_REQUESTS = 20
_QUARANTINED = b"CP1305"
_RATE_PER_S = 1.5
_MAX_DOWN_S = 2.0


@dataclasses.dataclass(slots=True)
class _Harm:
    """A prompt part or a request that crashes replicas.

    Attributes:
        name: Name of the part, or path of the request.
        kind: Kind of the requests.
        crash_times: Unix times of the crashes under it.
        is_active: Whether callers send such requests.
    """

    name: str
    kind: Kind
    crash_times: list[float] = dataclasses.field(default_factory=list)
    is_active: bool = True

    @property
    def known_s(self) -> float:
        """Unix time from which entries must know it."""
        count = _CRASHES_OF_REQUEST
        if self.kind is Kind.STREAM:
            count = _CRASHES_OF_PART
        if len(self.crash_times) < count:
            return float("inf")
        return self.crash_times[count - 1] + _NOTICE_S


class HarmfulTraffic:
    """Sends harmful requests, crashes replicas under them and checks both.

    Args:
        checker: Checks of the run, with all requests.
        rng: Source of random numbers.
        make_request: Returns a sound request of a kind.
        send: Sends a request.
    """

    def __init__(
        self,
        checker: GuaranteeChecker,
        rng: random.Random,
        make_request: Callable[[Kind], Request],
        send: Callable[[Request], Awaitable[SentRequest | None]],
    ) -> None:
        self._checker = checker
        self._rng = rng
        self._make_request = make_request
        self._send = send
        self._harms: dict[str, _Harm] = {}
        self._harmful_ids: dict[str, str] = {}

    async def run_harm(self, context: FaultContext) -> None:
        """Lets callers send one kind of harmful requests for a while."""
        kind = self._rng.choice((Kind.STREAM, Kind.REPEATABLE))
        if any(
            harm.is_active and harm.kind is kind
            for harm in self._harms.values()
        ):
            return
        name = f"{HARMFUL_MARK}{len(self._harms)}"
        harm = self._harms[name] = _Harm(name, kind)
        key = self._make_request(kind).key
        end_s = time.monotonic() + context.draw_duration_s(4.0, 10.0)
        tasks = []
        while time.monotonic() < end_s:
            request = self._make_harmful_request(harm, key)
            self._harmful_ids[request.request_id] = name
            tasks.append(asyncio.create_task(self._send(request)))
            await asyncio.sleep(self._rng.expovariate(_RATE_PER_S))
        await asyncio.gather(*tasks)
        harm.is_active = False

    def _make_harmful_request(self, harm: _Harm, key: str) -> Request:
        request = self._make_request(harm.kind)
        if harm.kind is Kind.STREAM:
            return dataclasses.replace(request, part=harm.name)
        target = f"{harm.kind.value}{harm.name}"
        return dataclasses.replace(request, target=target, key=key)

    async def crash(
        self, context: FaultContext, replica: SimulatedReplica, mark: str
    ) -> None:
        """Crashes a replica under a harmful request and restarts it."""
        name = next(
            name for name, item in context.replicas.items() if item is replica
        )
        if name in context.reserved:
            return  # Another fault restarts the replica.
        context.reserved.add(name)
        self._harms[mark].crash_times.append(time.time())
        interval = context.timeline.begin("crash", name, replica.name)
        port = replica.port
        link = context.replica_links[name]
        link.refuse()
        await replica.crash()
        await asyncio.sleep(context.draw_duration_s(0.3, _MAX_DOWN_S))
        await replica.start(port, context.rng.random() < 0.5)
        await link.start()
        context.observe_restart(name)
        replica.register()
        context.timeline.end(interval)
        context.reserved.discard(name)

    def check(self) -> dict[str, object]:
        """Checks the harmful arrivals and the sound requests beside them.

        Returns:
            Crashes by harm, and the number of sound requests in quarantine.
        """
        sent = self._checker.sent.values()
        for harm in self._harms.values():
            late = [
                arrival.arrived_at_s - harm.known_s
                for item in sent
                if self._harmful_ids.get(item.request.request_id) == harm.name
                for arrival in item.arrivals
                if arrival.arrived_at_s > harm.known_s
                and self._checker.is_undisturbed(
                    arrival.arrived_at_s, arrival.arrived_at_s, item.entry
                )
            ]
            if len(late) > _MAX_LATE_ARRIVALS:
                self._checker.add(
                    "harmful_requests_sent",
                    f"{harm.name}: {len(harm.crash_times)} crashes, later "
                    + ", ".join(f"{at_s:.2f}" for at_s in late),
                )
        sound = [
            item
            for item in sent
            if item.request.request_id not in self._harmful_ids
            and item.response is not None
        ]
        refused = [item for item in sound if _QUARANTINED in item.response.body]
        self._check_sound(sound, refused)
        return {
            "crashes": {
                harm.name: len(harm.crash_times)
                for harm in self._harms.values()
            },
            "sound_quarantined": len(refused),
        }

    def _check_sound(
        self, sound: list[SentRequest], refused: list[SentRequest]
    ) -> None:
        """Checks that most sound requests of each kind are still sent."""
        totals = collections.Counter(item.request.kind for item in sound)
        counts = collections.Counter(item.request.kind for item in refused)
        for kind, count in counts.items():
            if totals[kind] >= _MIN_SOUND_REQUESTS and 2 * count > totals[kind]:
                self._checker.add(
                    "sound_requests_refused",
                    f"{kind.name}: {count} of {totals[kind]}",
                )
