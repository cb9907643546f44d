"""Participation of a rank in a change of the expert map."""

from chicoryplank.ids import Incarnation, RankId
from chicoryplank.invariants import require
from chicoryplank.orders._documents import MapDocument, NextMap, Prepared
from chicoryplank.rebalance import ExpertMap


class RankMapSelector:
    """Chooses the expert map of each step at one rank.

    The choice depends on recorded documents only. Documents may arrive late,
    repeatedly and out of order; those with an older revision are ignored. As a
    participant in a two-phase commit, a rank that has sent its prepare vote
    runs the stop step only after a document shows that the change was decided
    or aborted. Until then it blocks, without a time limit.

    Args:
        rank: Index of the rank.
        incarnation: Incarnation of this process.
        document: Document in which this incarnation is recorded.
        revision: Revision of that document.
        next_step: First step that this process runs.
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
        self._prepared_map: NextMap | None = None

    @property
    def next_step(self) -> int:
        """Next step that the rank runs."""
        return self._next_step

    @property
    def document(self) -> MapDocument:
        """Newest document that the rank has received."""
        return self._document

    def observe(self, document: MapDocument, revision: int) -> None:
        """Replaces the document by a recorded one with a newer revision."""
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
        """Returns the prepare vote; the weights of the next map must be loaded.

        From then on the rank does not run the stop step before it knows the
        outcome.

        Returns:
            The vote to send to the controller; None if there is no change to
            prepare, another incarnation is recorded for the rank, or the rank
            has already run the stop step.
        """
        next_map = self._document.next_map
        if next_map is None or self._document.decision is not None:
            return None
        if self._document.members.get(self._rank) != self._incarnation:
            return None
        if self._next_step > next_map.stop_step:
            return None
        self._prepared_map = next_map
        return Prepared(next_map.change, self._rank, self._incarnation)

    def choose(self) -> ExpertMap | None:
        """Returns the map of the next step; None if the rank must wait.

        It waits for the outcome of a change, or permanently if another
        incarnation has replaced it.
        """
        document, prepared_map = self._document, self._prepared_map
        if document.members.get(self._rank) != self._incarnation:
            return None
        step = self._next_step
        if prepared_map is not None and step >= prepared_map.stop_step:
            recorded_next_map = document.next_map
            is_outcome_known = (
                document.decided_change >= prepared_map.change
                or recorded_next_map is None
                or recorded_next_map.change != prepared_map.change
            )
            if not is_outcome_known:
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
