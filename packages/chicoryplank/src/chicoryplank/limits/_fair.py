"""Queue with fair sharing between client accounts."""

import heapq
import itertools
from collections.abc import Callable

from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.limits._messages import Request

# Work of a request beside its tokens, so that requests without any count.
_BASE_WORK = 16


def find_work(request: Request) -> int:
    """Returns the work of a request, in tokens."""
    return request.tokens + _BASE_WORK


class FairQueue:
    """Start-time fair queue over client accounts.

    The account with the least start tag goes next. Its tag then rises by the
    work of the request, so that backlogged accounts get equal work whatever
    their number of requests. An account without backlog starts at the virtual
    time. Requests that leave without service do not raise the tag.

    An account may hold at most as many requests as there are free places.
    One account alone thus fills half of the queue, and a newcomer finds a
    place.

    Args:
        max_queued: Bound on queued requests.

    References:
        Goyal, Vin, Cheng: Start-time Fair Queueing, SIGCOMM 1996.
        Choudhury, Hahne: Dynamic Queue Length Thresholds, 1998.
    """

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._backlogs: dict[AccountId, dict[AttemptId, Request]] = {}
        self._account_work: dict[AccountId, int] = {}
        self._heap: list[tuple[float, int, AccountId]] = []
        self._in_heap: set[AccountId] = set()
        self._order = itertools.count()
        self._finish: dict[AccountId, float] = {}
        self._virtual = 0.0
        self._length = 0
        self._total_work = 0

    def __len__(self) -> int:
        return self._length

    @property
    def total_work(self) -> int:
        """Work of all queued requests, in tokens."""
        return self._total_work

    def has_room(self, account: AccountId) -> bool:
        """Tells whether the account may queue one more request."""
        held = len(self._backlogs.get(account, ()))
        return held < self._max_queued - self._length

    def ahead(self, request: Request) -> tuple[int, int]:
        """Returns (requests, work) that are expected to go first.

        Under fair sharing no account gets more work than this account's
        backlog and the request together.
        """
        account = request.account
        held = len(self._backlogs.get(account, ()))
        own_work = self._account_work.get(account, 0) + find_work(request)
        others = len(self._backlogs) - (account in self._backlogs)
        count = min(self._length, held + (held + 1) * others)
        work = own_work - find_work(request) + own_work * others
        return count, min(self._total_work, work)

    def push(self, request: Request) -> None:
        """Adds a request."""
        account = request.account
        work = find_work(request)
        backlog = self._backlogs.get(account)
        if backlog is None:
            backlog = self._backlogs[account] = {}
            self._account_work[account] = 0
            self._enter(account)
        backlog[request.attempt] = request
        self._account_work[account] += work
        self._length += 1
        self._total_work += work

    def pop(
        self, is_late: Callable[[Request], bool]
    ) -> tuple[Request | None, list[Request]]:
        """Removes the request that goes next.

        Args:
            is_late: Tells whether a request can no longer meet its deadline.

        Returns:
            The request, or None if none is left, and the late requests that
            were removed on the way.
        """
        late: list[Request] = []
        while self._heap:
            tag, _, account = heapq.heappop(self._heap)
            self._in_heap.discard(account)
            while account in self._backlogs:
                request = next(iter(self._backlogs[account].values()))
                self._remove(request)
                if is_late(request):
                    late.append(request)
                    continue
                self._virtual = max(self._virtual, tag)
                self._finish[account] = tag + find_work(request)
                if account in self._backlogs:
                    self._enter(account)
                return request, late
        return None, late

    def withdraw(self, request: Request) -> None:
        """Removes a queued request without service."""
        self._remove(request)

    def requests(self) -> list[Request]:
        """Returns all queued requests."""
        return [
            request
            for backlog in self._backlogs.values()
            for request in backlog.values()
        ]

    def _enter(self, account: AccountId) -> None:
        if account in self._in_heap:
            return
        tag = max(self._virtual, self._finish.get(account, 0.0))
        heapq.heappush(self._heap, (tag, next(self._order), account))
        self._in_heap.add(account)

    def _remove(self, request: Request) -> None:
        account = request.account
        work = find_work(request)
        backlog = self._backlogs[account]
        del backlog[request.attempt]
        self._account_work[account] -= work
        self._length -= 1
        self._total_work -= work
        if not backlog:
            del self._backlogs[account]
            del self._account_work[account]
        if not self._length:
            self._finish.clear()
