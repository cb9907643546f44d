"""The rank's side of a change of the expert map."""

from chicoryplank.ids import Incarnation, RankId
from chicoryplank.invariants import require
from chicoryplank.orders._documents import MapDocument, NextMap, Prepared
from chicoryplank.rebalance import ExpertMap


class RankMap:
    """Chooses the map of each step from recorded documents only.

    Documents may arrive late, twice and out of order; an older revision is
    ignored. A rank that has promised to stop runs the stop step only after a
    document shows that the change was decided or aborted. Without one it
    waits, however long that takes.

    Args:
        rank: This rank.
        incarnation: Incarnation of this process.
        document: Document in which this incarnation is recorded.
        revision: Revision of that document.
        next_step: Next step that the group runs.
    """

    def __init__(
        self,
        rank: RankId,
        incarnation: Incarnation,
        document: MapDocument,
        revision: int,
        next_step: int,
    ) -> None:
        require(
            document.members.get(rank) == incarnation,
            "rank_joins_recorded",
            f"rank {rank} is {document.members.get(rank)}, not {incarnation}",
        )
        self._rank = rank
        self._incarnation = incarnation
        self._document = document
        self._revision = revision
        self._next_step = next_step
        self._promise: NextMap | None = None

    @property
    def next_step(self) -> int:
        """Next step that this rank runs."""
        return self._next_step

    @property
    def document(self) -> MapDocument:
        """Newest document that this rank has seen."""
        return self._document

    def observe(self, document: MapDocument, revision: int) -> None:
        """Takes a recorded document unless it is older than the known one."""
        if revision <= self._revision:
            return
        require(
            document.decided_change >= self._document.decided_change,
            "decisions_are_never_undone",
            f"change {document.decided_change} after "
            f"{self._document.decided_change}",
        )
        self._document = document
        self._revision = revision

    def prepare(self) -> Prepared | None:
        """Promises to stop, once the weights of the next map are loaded.

        Returns:
            The promise to send to the controller; None if there is no change
            to prepare or this rank has run the stop step already.
        """
        following = self._document.next_map
        if following is None or self._document.decision is not None:
            return None
        if self._document.members.get(self._rank) != self._incarnation:
            return None
        if self._next_step > following.stop_step:
            return None
        self._promise = following
        return Prepared(following.change, self._rank, self._incarnation)

    def choose(self) -> ExpertMap | None:
        """Returns the map of the next step; None if the rank must wait."""
        document, promise = self._document, self._promise
        if document.members.get(self._rank) != self._incarnation:
            return None
        step = self._next_step
        if promise is not None and step >= promise.stop_step:
            pending = document.next_map
            known = (
                document.decided_change >= promise.change
                or pending is None
                or pending.change != promise.change
            )
            if not known:
                return None
        decision = document.decision
        if decision is not None and step >= decision.first_step:
            return document.next_map.expert_map
        return document.in_force

    def advance(self) -> None:
        """Records that the next step has begun."""
        require(
            self.choose() is not None,
            "no_step_without_a_map",
            f"rank {self._rank} at step {self._next_step}",
        )
        self._next_step += 1
