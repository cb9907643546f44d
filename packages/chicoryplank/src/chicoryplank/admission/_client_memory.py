"""Bound on the memory and the connections that clients take from a process.

Load pattern: many clients open connections, stop in the middle of a request,
send it byte by byte, queue requests on one connection or do not read their
responses. Requests that are complete are kept; of the others, those without
progress are shed first, so that ordinary requests find room.

A large body needs a reservation of its whole size before it is received.
Clients without one wait in turn while the kernel bounds what they can send.
Reservations leave a part of the bound to connections and small requests.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterable

_MEBIBYTE = 1_048_576
# Memory of a forwarding entry without clients.
_PROCESS_BYTES = 64 * _MEBIBYTE
# Share of the remaining memory that is charged to clients; the rest is for
# fragmentation, and for garbage that has not been collected.
_CLIENT_SHARE = 0.6
# Share of the memory of a machine that clients get at least.
_MIN_CLIENT_SHARE = 0.2
# Share of the bound that reservations may take.
_RESERVED_SHARE = 0.75
# Largest share of the bound for responses that clients have not read, and its
# greatest value in bytes.
_UNREAD_SHARE = 0.25
_MAX_UNREAD_BYTES = 32 * _MEBIBYTE
# Descriptors for files and the runtime; connections to other processes get as
# many of the rest as clients.
_OTHER_DESCRIPTORS = 200
_CLIENT_DESCRIPTOR_SHARE = 0.5
_MIN_CONNECTIONS = 16
# Size of the receive buffer that the bound assumes of each connection. Smaller
# ones slow down large bodies, since a segment can be as large.
RECEIVE_BUFFER_BYTES = 32_768
# Objects, write buffer and unread input of a connection.
_CONNECTION_BYTES = 40_960
# Additional unread input of a connection that is not being read.
_PAUSED_BYTES = 32_768
# Memory of a header field without its text.
HEADER_BYTES = 224
# Interval in seconds in which clients that wait for a reservation are checked.
WAITING_CHECK_S = 0.25
# Body size above which a reservation is needed.
SMALL_BODY_BYTES = 65_536
# Unread input and objects of a request with a reservation.
_RESERVATION_EXTRA_BYTES = 131_072
# Part of a response that waits behind the unread part.
_RESPONSE_BYTES = 262_144
# Time in seconds by which a request may lag behind the minimum rate.
_MAX_LAG_S = 1.0
_MIN_RATE_BYTES_PER_S = 65_536.0
# Longest wait for a reservation, in seconds; clients leave after a second.
_MAX_WAIT_S = 1.0


class ShedReason(enum.Enum):
    """Reason why the connection of a client is shed.

    Attributes:
        STALLED: Its request makes no progress.
        UNREAD: The client does not read the response.
        IDLE: No request has been received for the longest time.
        LARGEST: Its unfinished or queued requests take the most memory.
        NEWEST: Its body got its reservation last.
        WAITED: No reservation was possible in time.
    """

    STALLED = "stalled"
    UNREAD = "unread"
    IDLE = "idle"
    LARGEST = "largest"
    NEWEST = "newest"
    WAITED = "waited"


class Activity(enum.Enum):
    """What a connection does.

    Attributes:
        IDLE: It has no request.
        RECEIVING: A request is unfinished, or queued behind another one.
        BUSY: A complete request is in progress, and no other one.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientMemoryLimits:
    """Limits of one process.

    Attributes:
        max_bytes: Bound on the memory that clients take.
        max_connections: Bound on their connections.
    """

    max_bytes: int = 64 * _MEBIBYTE
    max_connections: int = 1_024


def compute_client_limits(
    memory_bytes: int,
    max_descriptors: int,
    process_bytes: int = _PROCESS_BYTES,
) -> ClientMemoryLimits:
    """Returns the limits that follow from a machine.

    Args:
        memory_bytes: Memory that the process may use.
        max_descriptors: Descriptors that the process may open.
        process_bytes: Memory of the process without clients.

    Example:
        >>> compute_client_limits(300_000_000, 4_100).max_connections
        1950
    """
    free_bytes = memory_bytes - process_bytes
    max_bytes = max(
        free_bytes * _CLIENT_SHARE, memory_bytes * _MIN_CLIENT_SHARE
    )
    connections = (
        max_descriptors - _OTHER_DESCRIPTORS
    ) * _CLIENT_DESCRIPTOR_SHARE
    return ClientMemoryLimits(
        int(max_bytes), max(_MIN_CONNECTIONS, int(connections))
    )


def compute_max_body_bytes(limits: ClientMemoryLimits) -> int:
    """Returns the size of the largest body that can be held."""
    reserved_bytes = int(limits.max_bytes * _RESERVED_SHARE)
    return max(SMALL_BODY_BYTES, reserved_bytes - _RESERVATION_EXTRA_BYTES)


@dataclasses.dataclass(eq=False, slots=True)
class ClientUsage:
    """What one connection takes.

    Attributes:
        shed: Sheds the connection, or if a request is in progress on it, the
            unfinished and queued ones. Returns the bytes that stay held for
            the request in progress; None if the connection ends.
        activity: What the connection does.
        held_bytes: Size of the requests that are held.
        reserved_bytes: Reservation for a large body; 0 for none.
        unread_bytes: Size of the response that the client has not read.
        received_bytes: Size of what has been received of a request.
        receiving_since_s: Time from which its progress counts.
        is_paused: Whether the connection is not read at present.
    """

    shed: Callable[[ShedReason], int | None]
    activity: Activity = Activity.IDLE
    held_bytes: int = 0
    reserved_bytes: int = 0
    unread_bytes: int = 0
    received_bytes: int = 0
    receiving_since_s: float = 0.0
    is_paused: bool = False
    charged_bytes: int = 0
    is_shed: bool = False

    def compute_charge(self) -> int:
        """Returns the bytes that the connection is charged."""
        charge = _CONNECTION_BYTES + max(self.held_bytes, self.reserved_bytes)
        if self.is_paused:
            charge += _PAUSED_BYTES
        if self.unread_bytes:
            charge += self.unread_bytes + _RESPONSE_BYTES
        return charge

    def compute_lag_s(self, now_s: float) -> float:
        """Returns how far the request is behind the minimum rate."""
        due_s = self.received_bytes / _MIN_RATE_BYTES_PER_S
        return now_s - self.receiving_since_s - due_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiter:
    size_bytes: int
    since_s: float
    on_granted: Callable[[], None]


class ClientMemory:
    """Counts what clients take and decides which of them are shed.

    Args:
        limits: Limits of the process.
        now_s: Returns the current time in seconds.

    Attributes:
        max_body_bytes: Size of the largest body that can be held.
        used_bytes: Memory charged to all connections.
    """

    def __init__(
        self, limits: ClientMemoryLimits, now_s: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._now_s = now_s
        self.max_body_bytes = compute_max_body_bytes(limits)
        self._max_reserved = int(limits.max_bytes * _RESERVED_SHARE)
        self._max_unread = min(
            _MAX_UNREAD_BYTES, int(limits.max_bytes * _UNREAD_SHARE)
        )
        self.used_bytes = 0
        self._reserved_bytes = 0
        self._unread_bytes = 0
        # All of them are ordered, the oldest first.
        self._open: dict[ClientUsage, None] = {}
        self._idle: dict[ClientUsage, None] = {}
        self._receiving: dict[ClientUsage, None] = {}
        self._slow: dict[ClientUsage, None] = {}
        self._waiting: dict[ClientUsage, _Waiter] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def open(
        self, shed: Callable[[ShedReason], int | None]
    ) -> ClientUsage | None:
        """Adds a connection, which is idle.

        Args:
            shed: See ClientUsage.

        Returns:
            None if there is no room, even after others have been shed.
        """
        while len(self._open) >= self._limits.max_connections:
            if not self._shed_for_connection():
                return None
        while self.used_bytes + _CONNECTION_BYTES > self._limits.max_bytes:
            if not self._shed_for_memory():
                return None
        usage = ClientUsage(shed)
        self._open[usage] = self._idle[usage] = None
        self._update_charge(usage)
        return usage

    def close(self, usage: ClientUsage) -> None:
        """Removes a connection; has no effect if it has been removed."""
        if usage not in self._open:
            return
        del self._open[usage]
        self._forget(usage)
        self.used_bytes -= usage.charged_bytes
        self._reserved_bytes -= usage.reserved_bytes
        self._unread_bytes -= usage.unread_bytes
        usage.charged_bytes = usage.reserved_bytes = usage.unread_bytes = 0
        self._grant_waiting()

    def _forget(self, usage: ClientUsage) -> None:
        """Removes a connection from those that can be shed."""
        self._idle.pop(usage, None)
        self._receiving.pop(usage, None)
        self._slow.pop(usage, None)
        self._waiting.pop(usage, None)

    def set_activity(self, usage: ClientUsage, activity: Activity) -> None:
        """Records what a connection does.

        The progress of a request counts from the change to RECEIVING.
        """
        if activity is usage.activity or usage not in self._open:
            return
        usage.activity = activity
        if usage.is_shed:
            return
        self._idle.pop(usage, None)
        self._receiving.pop(usage, None)
        if activity is Activity.IDLE:
            self._idle[usage] = None
        elif activity is Activity.RECEIVING:
            self._receiving[usage] = None
            usage.received_bytes = 0
            usage.receiving_since_s = self._now_s()

    def observe(
        self,
        usage: ClientUsage,
        held_bytes: int,
        received_bytes: int = 0,
        *,
        is_paused: bool = False,
    ) -> None:
        """Records what a connection holds, and sheds clients if it is too much.

        Args:
            usage: The connection, which may itself be shed.
            held_bytes: Size of all its requests.
            received_bytes: Number of bytes received since the last call.
            is_paused: Whether it is not read at present.
        """
        usage.held_bytes = held_bytes
        usage.received_bytes += received_bytes
        usage.is_paused = is_paused
        self._update_charge(usage)

    def observe_unread(self, usage: ClientUsage, unread_bytes: int) -> None:
        """Records how much of its response a client has not read.

        Args:
            usage: The connection, which may itself be shed.
            unread_bytes: Number of bytes; 0 once the client reads again.
        """
        if usage not in self._open:
            return
        self._unread_bytes += unread_bytes - usage.unread_bytes
        usage.unread_bytes = unread_bytes
        if not unread_bytes:
            self._slow.pop(usage, None)
        elif not usage.is_shed:
            self._slow.setdefault(usage)
        while self._unread_bytes > self._max_unread and self._slow:
            self._shed(next(iter(self._slow)), ShedReason.UNREAD)
        self._update_charge(usage)

    def reserve(
        self,
        usage: ClientUsage,
        body_bytes: int,
        on_granted: Callable[[], None],
    ) -> bool:
        """Reserves memory for a large body.

        Args:
            usage: The connection.
            body_bytes: Largest size of the body; at most `max_body_bytes`.
            on_granted: Called if the reservation is granted later. Until then
                the connection must not be read, and `check_waiting` be called
                from time to time.

        Returns:
            Whether it is granted at once.
        """
        size_bytes = body_bytes + _RESERVATION_EXTRA_BYTES
        waiter = _Waiter(size_bytes, self._now_s(), on_granted)
        if not self._waiting and self._fits(size_bytes):
            self._grant(usage, waiter)
            return True
        self._waiting[usage] = waiter
        self._shed_stalled_reservations()
        return usage.reserved_bytes > 0

    def settle(self, usage: ClientUsage) -> None:
        """Reduces a reservation to the complete body, which is kept."""
        if usage.reserved_bytes:
            self._set_reservation(
                usage, min(usage.reserved_bytes, usage.held_bytes)
            )

    def release(self, usage: ClientUsage) -> None:
        """Ends the reservation, if there is one."""
        self._waiting.pop(usage, None)
        if usage.reserved_bytes:
            self._set_reservation(usage, 0)

    def check_waiting(self, usage: ClientUsage) -> None:
        """Sheds stalled clients, or this one if it has waited for too long."""
        self._shed_stalled_reservations()
        waiter = self._waiting.get(usage)
        if waiter and self._now_s() - waiter.since_s > _MAX_WAIT_S:
            self._shed(usage, ShedReason.WAITED)

    def _fits(self, size_bytes: int) -> bool:
        return (
            self._reserved_bytes + size_bytes <= self._max_reserved
            and self.used_bytes + size_bytes <= self._limits.max_bytes
        )

    def _grant(self, usage: ClientUsage, waiter: _Waiter) -> None:
        usage.received_bytes = 0
        usage.receiving_since_s = self._now_s()
        self._set_reservation(usage, waiter.size_bytes)

    def _set_reservation(self, usage: ClientUsage, size_bytes: int) -> None:
        is_smaller = size_bytes < usage.reserved_bytes
        self._reserved_bytes += size_bytes - usage.reserved_bytes
        usage.reserved_bytes = size_bytes
        self._update_charge(usage)
        if is_smaller:
            self._grant_waiting()

    def _grant_waiting(self) -> None:
        """Grants reservations in the order in which they were requested."""
        while self._waiting:
            usage, waiter = next(iter(self._waiting.items()))
            if not self._fits(waiter.size_bytes):
                return
            del self._waiting[usage]
            self._grant(usage, waiter)
            if usage.reserved_bytes:
                waiter.on_granted()

    def _shed_stalled_reservations(self) -> None:
        """Makes room for the first waiting client."""
        self._grant_waiting()
        while self._waiting:
            if not self._shed_stalled(
                usage for usage in self._receiving if usage.reserved_bytes
            ):
                return

    def _shed_stalled(self, candidates: Iterable[ClientUsage]) -> bool:
        """Sheds the request that lags behind most, if it does too much."""
        now_s = self._now_s()
        slowest = max(
            (usage for usage in candidates if usage not in self._waiting),
            key=lambda usage: usage.compute_lag_s(now_s),
            default=None,
        )
        if slowest is None or slowest.compute_lag_s(now_s) <= _MAX_LAG_S:
            return False
        self._shed(slowest, ShedReason.STALLED)
        return True

    def _update_charge(self, usage: ClientUsage) -> None:
        if usage not in self._open:
            return
        charge = usage.compute_charge()
        self.used_bytes += charge - usage.charged_bytes
        usage.charged_bytes = charge
        while self.used_bytes > self._limits.max_bytes:
            if not self._shed_for_memory():
                return

    def _shed_for_memory(self) -> bool:
        """Sheds one client; returns False if all requests are complete."""
        if self._shed_stalled(self._receiving):
            return True
        if self._slow:
            self._shed(next(iter(self._slow)), ShedReason.UNREAD)
            return True
        largest = max(
            (usage for usage in self._receiving if not usage.reserved_bytes),
            key=lambda usage: usage.held_bytes,
            default=None,
        )
        if largest is not None and largest.held_bytes > _CONNECTION_BYTES:
            self._shed(largest, ShedReason.LARGEST)
        elif self._idle:
            self._shed(next(iter(self._idle)), ShedReason.IDLE)
        elif largest is not None:
            self._shed(largest, ShedReason.LARGEST)
        elif self._receiving:
            self._shed(next(reversed(self._receiving)), ShedReason.NEWEST)
        else:
            return False
        return True

    def _shed_for_connection(self) -> bool:
        """Sheds one client; returns False if all requests are complete."""
        if self._shed_stalled(self._receiving):
            return True
        if self._idle:
            self._shed(next(iter(self._idle)), ShedReason.IDLE)
            return True
        return False

    def _shed(self, usage: ClientUsage, reason: ShedReason) -> None:
        self._forget(usage)
        usage.is_shed = True
        kept_bytes = usage.shed(reason)
        if kept_bytes is None:
            self.close(usage)
            return
        usage.held_bytes = kept_bytes
        self._update_charge(usage)
