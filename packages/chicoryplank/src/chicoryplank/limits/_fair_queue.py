"""Fair queue over client accounts."""

import heapq
import itertools
from collections.abc import Callable

from chicoryplank.ids import AccountId, AttemptId
from chicoryplank.limits._messages import Request

# Fixed work of each request in tokens, so that requests without generated
# tokens are counted too.
_BASE_WORK = 16


def compute_work(request: Request) -> int:
    """Returns the work of a request in tokens, including a fixed part."""
    return request.tokens + _BASE_WORK


class FairQueue:
    """Start-time fair queue over client accounts.

    The account with the lowest start tag is served next. Its tag then rises by
    the work of the request, so that backlogged accounts get equal work,
    whatever their number of requests. An account that had no backlog starts at
    the current virtual time. Requests that are removed without service do not
    raise the tag.

    An account may queue at most as many requests as there are free places in
    the queue. A single account can thus fill half of the queue, and requests
    of other accounts still find a place.

    Args:
        max_queued: Largest number of queued requests.

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
        self._tie_breaker = itertools.count()
        self._finish_tags: dict[AccountId, float] = {}
        self._virtual_time = 0.0
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
        queued = len(self._backlogs.get(account, ()))
        return queued < self._max_queued - self._length

    def estimate_ahead(self, request: Request) -> tuple[int, int]:
        """Returns the expected (requests, work) that are served before it.

        Until the request is served, fair queueing gives no other account more
        work than this account's backlog and the request together.
        """
        account = request.account
        queued = len(self._backlogs.get(account, ()))
        own_work = self._account_work.get(account, 0) + compute_work(request)
        others = len(self._backlogs) - (account in self._backlogs)
        count = min(self._length, queued + (queued + 1) * others)
        work = own_work - compute_work(request) + own_work * others
        return count, min(self._total_work, work)

    def push(self, request: Request) -> None:
        """Adds a request."""
        account = request.account
        work = compute_work(request)
        backlog = self._backlogs.get(account)
        if backlog is None:
            backlog = self._backlogs[account] = {}
            self._account_work[account] = 0
            self._push_account(account)
        backlog[request.attempt] = request
        self._account_work[account] += work
        self._length += 1
        self._total_work += work

    def pop(
        self, is_late: Callable[[Request], bool]
    ) -> tuple[Request | None, list[Request]]:
        """Removes the request that is served next.

        Args:
            is_late: Tells whether a request can no longer meet its deadline.

        Returns:
            The request, or None if none is left, and the late requests that
            were removed before it.
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
                self._virtual_time = max(self._virtual_time, tag)
                self._finish_tags[account] = tag + compute_work(request)
                if account in self._backlogs:
                    self._push_account(account)
                return request, late
        return None, late

    def withdraw(self, request: Request) -> None:
        """Removes a queued request without serving it."""
        self._remove(request)

    def list_requests(self) -> list[Request]:
        """Returns all queued requests."""
        return [
            request
            for backlog in self._backlogs.values()
            for request in backlog.values()
        ]

    def _push_account(self, account: AccountId) -> None:
        if account in self._in_heap:
            return
        tag = max(self._virtual_time, self._finish_tags.get(account, 0.0))
        heapq.heappush(self._heap, (tag, next(self._tie_breaker), account))
        self._in_heap.add(account)

    def _remove(self, request: Request) -> None:
        account = request.account
        work = compute_work(request)
        backlog = self._backlogs[account]
        del backlog[request.attempt]
        self._account_work[account] -= work
        self._length -= 1
        self._total_work -= work
        if not backlog:
            del self._backlogs[account]
            del self._account_work[account]
        if not self._length:
            self._finish_tags.clear()
