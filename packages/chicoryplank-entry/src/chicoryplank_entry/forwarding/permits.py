"""Permits for requests to replicas that limit the requests of all entries.

For each such replica one entry, the issuer, keeps the only token bucket, and
the others ask it for a permit by datagram before each request. The store is not
involved. Entries choose the issuer by rendezvous hashing over the live entries,
so that its loss moves few replicas to other issuers. If the fleet is
partitioned, the issuer of each part uses the part of the limit that corresponds
to the number of its entries.

Replicas may have further limits (permit_limits.py), such as the bound on a cold
replica. Permits for these are valid only for a moment.
"""

import asyncio
import dataclasses
import heapq
import itertools
from collections.abc import Callable, Mapping

from chicoryplank.admission import (
    PERMIT_VALIDITY_S,
    HoldReason,
    LimitReport,
    LimitSource,
    RateBucket,
)
from chicoryplank.ids import InstanceId
from chicoryplank.rendezvous import rank_members
from chicoryplank_entry.forwarding.metrics import METRICS
from chicoryplank_entry.forwarding.permit_limits import (
    CarriedLimit,
    PermitLimit,
)
from chicoryplank_entry.forwarding.state import EntryState

REQUEST_KIND = "permit-request"
REPLY_KIND = "permit-reply"
PERMIT_KINDS = frozenset({REQUEST_KIND, REPLY_KIND})
# Time in seconds in which an issuer replies; a datagram between zones takes a
# few milliseconds.
_REPLY_TIMEOUT_S = 0.06
# Time in seconds for which a replica is left alone if its issuer did not reply
# or is not the issuer in its own view.
_UNKNOWN_WAIT_S = 0.1
_MIN_WAIT_S = 0.01
# Number of limits in one message, which must fit into a datagram. Questions for
# permits contain the limit too.
_MAX_REPORTS = 200

Document = Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permit for one request.

    Attributes:
        asked_s: Time of the question, in seconds; minus infinity if the replica
            had none of the limits for which the age of a permit counts.
    """

    asked_s: float


class Permits:
    """Asks for permits of one entry, and issues permits to others.

    Args:
        own: This entry.
        state: Shared state of this entry.
        list_live_members: Returns all live entries, with this one.
        send: Sends a document to another entry.

    Attributes:
        limits: Limits besides the Server-Limit. A replica needs permits if any
            limit applies to it, and a permit is granted only if all agree.
        carried: Limits whose state the questions carry, by field.
    """

    def __init__(
        self,
        own: InstanceId,
        state: EntryState,
        list_live_members: Callable[[], list[InstanceId]],
        send: Callable[[Document, InstanceId], None],
    ) -> None:
        self._own = own
        self._state = state
        self._list_live_members = list_live_members
        self._send = send
        self._buckets: dict[InstanceId, RateBucket] = {}
        self._numbers = itertools.count(1)
        self._pending: dict[int, Callable[[float], None]] = {}
        self.limits: list[PermitLimit] = []
        self.carried: dict[str, CarriedLimit] = {}

    def is_limited(self, instance: InstanceId) -> bool:
        """Returns whether a request to a replica needs a permit now."""
        if self._state.server_limits.get(instance) is not None:
            return True
        return self._is_bounded(instance, self._state.now_s())

    def is_usable(self, instance: InstanceId, permit: Permit) -> bool:
        """Returns whether a request may be written with a permit now.

        The replica may have become limited since, or the permit may be so old
        that too many requests with permits would arrive together.
        """
        now_s = self._state.now_s()
        if not self._is_bounded(instance, now_s):
            return True
        is_usable = now_s - permit.asked_s <= PERMIT_VALIDITY_S
        if not is_usable:
            METRICS.count_permit("expired")
        return is_usable

    def _is_bounded(self, instance: InstanceId, now_s: float) -> bool:
        return any(limit.is_limited(instance, now_s) for limit in self.limits)

    async def acquire(self, instance: InstanceId) -> Permit | None:
        """Returns a permit for a request to a replica now.

        Returns:
            None if there is none; the replica is then held until the limit
            allows a request.
        """
        asked_s = self._state.now_s()
        if not self._is_bounded(instance, asked_s):
            asked_s = float("-inf")
        if not self.is_limited(instance):
            return Permit(asked_s)
        answered = asyncio.get_running_loop().create_future()

        def set_wait(wait_s: float) -> None:
            if not answered.done():
                answered.set_result(wait_s)

        number = self.request(instance, set_wait)
        result = "denied"
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S) as timeout:
                wait_s = await answered
        except TimeoutError:
            if not timeout.expired():
                raise
            wait_s = _UNKNOWN_WAIT_S
            result = "no_reply"
        finally:
            self._pending.pop(number, None)
        is_granted = self.apply_wait(instance, wait_s)
        METRICS.count_permit("granted" if is_granted else result)
        return Permit(asked_s) if is_granted else None

    def apply_wait(self, instance: InstanceId, wait_s: float) -> bool:
        """Holds a replica unless the wait is 0; returns whether it is 0."""
        if wait_s <= 0:
            return True
        until_s = self._state.now_s() + max(wait_s, _MIN_WAIT_S)
        self._state.holds.hold(instance, HoldReason.LIMIT, until_s)
        return False

    def request(
        self, instance: InstanceId, on_reply: Callable[[float], None]
    ) -> int:
        """Asks the issuer for a permit.

        Args:
            instance: Replica with a limit.
            on_reply: Called with the time in seconds after which a request may
                be sent, 0 for now; not called if no reply arrives.

        Returns:
            Number of the question.
        """
        number = next(self._numbers)
        issuer = self.choose_issuer(instance)
        if issuer == self._own:
            on_reply(self._issue(instance))
            return number
        self._pending[number] = on_reply
        now_s = self._state.now_s()
        report = self._state.server_limits.list_reports(now_s).get(instance)
        document = {
            "kind": REQUEST_KIND,
            "member": self._own,
            "number": number,
            "replica": instance,
        }
        if report is not None:
            document["limit"] = [report.limit, now_s - report.seen_s]
        for field, limit in self.carried.items():
            carried = limit.encode_report(instance, now_s)
            if carried is not None:
                document[field] = carried
        self._send(document, issuer)
        return number

    def handle(self, document: Document) -> None:
        """Handles a question or a reply of another entry.

        Raises:
            ValueError, TypeError, KeyError, OverflowError: If it is malformed.
        """
        number = int(document["number"])
        if document["kind"] == REPLY_KIND:
            wait_s = float(document["wait_s"])
            if not 0 <= wait_s < float("inf"):
                raise ValueError(f"wait {wait_s} is out of range")
            on_reply = self._pending.pop(number, None)
            if on_reply is not None:
                on_reply(wait_s)
            return
        instance = InstanceId(str(document["replica"]))
        member = InstanceId(str(document["member"]))
        if document.get("limit") is not None:
            # An issuer that has just started may not know the limit yet.
            self.apply_reports({instance: document["limit"]})
        for field, limit in self.carried.items():
            if document.get(field) is not None:
                limit.apply_report(
                    instance, document[field], self._state.now_s()
                )
        reply = {
            "kind": REPLY_KIND,
            "member": self._own,
            "number": number,
            "wait_s": self._issue(instance),
        }
        self._send(reply, member)

    def choose_issuer(self, instance: InstanceId) -> InstanceId:
        """Returns the entry that issues the permits for a replica."""
        members = self._list_live_members()
        if self._state.is_draining and len(members) > 1:
            members = [name for name in members if name != self._own]
        return rank_members(instance, members)[0]

    def _issue(self, instance: InstanceId) -> float:
        """Grants a permit if all limits agree; returns the wait in seconds."""
        if self.choose_issuer(instance) != self._own:
            self._buckets.pop(instance, None)
            return _UNKNOWN_WAIT_S
        now_s = self._state.now_s()
        rate = self._get_rate(instance, now_s)
        bucket = None
        waits_s = [limit.get_wait_s(instance, now_s) for limit in self.limits]
        if rate is None:
            # Withdrawn, as this entry knows, but the other one does not yet;
            # or the replica has only other limits.
            self._buckets.pop(instance, None)
        else:
            bucket = self._get_bucket(instance, now_s)
            waits_s.append(bucket.get_wait_s(rate, now_s))
        wait_s = max(waits_s, default=0.0)
        if wait_s > 0:
            return wait_s
        if bucket is not None:
            bucket.try_take(rate, now_s)
        for limit in self.limits:
            limit.record_permit(instance, now_s)
        return 0.0

    def _get_rate(self, instance: InstanceId, now_s: float) -> float | None:
        """Returns the share of a Server-Limit that this issuer may grant."""
        rate = self._state.server_limits.get_rate(instance)
        if rate is None:
            return None
        live = len(self._list_live_members())
        return rate * min(1.0, live / self._state.entry_bound.get_bound(now_s))

    def _get_bucket(self, instance: InstanceId, now_s: float) -> RateBucket:
        bucket = self._buckets.get(instance)
        if bucket is None:
            self._remove_unused_buckets()
            bucket = self._buckets[instance] = RateBucket(now_s)
        return bucket

    def _remove_unused_buckets(self) -> None:
        """Removes the buckets of replicas that no longer have a limit."""
        for instance in list(self._buckets):
            if self._state.server_limits.get(instance) is None:
                del self._buckets[instance]

    def encode_reports(self) -> dict[InstanceId, list]:
        """Returns the newest limits and the ages of their reports."""
        now_s = self._state.now_s()
        reports = self._state.server_limits.list_reports(now_s)
        newest = heapq.nlargest(
            _MAX_REPORTS, reports.items(), key=lambda item: item[1].seen_s
        )
        return {
            instance: [report.limit, round(now_s - report.seen_s, 3)]
            for instance, report in newest
        }

    def apply_reports(self, reports: Mapping[str, list]) -> None:
        """Applies the limits that another entry reports.

        Raises:
            ValueError, TypeError: If a report is malformed.
        """
        now_s = self._state.now_s()
        for name, (limit, age_s) in reports.items():
            if limit is not None and not 0 <= float(limit) < float("inf"):
                raise ValueError(f"limit {limit} is out of range")
            if not float(age_s) >= 0:
                raise ValueError(f"age {age_s} is negative")
            report = LimitReport(
                None if limit is None else float(limit), now_s - float(age_s)
            )
            instance = InstanceId(name)
            if self._state.registry.get(instance) is None:
                continue
            if self._state.server_limits.observe(
                instance, report, LimitSource.PEER
            ):
                self._state.holds.release(instance, HoldReason.LIMIT)
