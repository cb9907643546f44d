"""Recorded state of the expert map of a group, and its transitions.

A change is a two-phase commit: the ranks load the next map and send their
prepare votes, the controller records the decision, the ranks switch, and the
controller records that the change is finished.
"""

import dataclasses
import enum
import json
from collections.abc import Iterable, Mapping

from chicoryplank.ids import (
    FencingToken,
    Incarnation,
    ModelGroupId,
    OperationId,
    RankId,
)
from chicoryplank.invariants import require
from chicoryplank.rebalance import ExpertMap
from chicoryplank.verdict import Verdict


class Phase(enum.Enum):
    """Phase of a change, derived from the recorded fields.

    Attributes:
        IDLE: There is no change.
        PREPARING: Some ranks have not voted yet.
        READY: The votes of all ranks are recorded.
        DECIDED: The decision to switch is recorded.
    """

    IDLE = "idle"
    PREPARING = "preparing"
    READY = "ready"
    DECIDED = "decided"


@dataclasses.dataclass(frozen=True, slots=True)
class NextMap:
    """Map that the ranks prepare.

    Attributes:
        change: Number of the change; it is not reused after an abort.
        expert_map: Map to activate.
        stop_step: First step that uses the new map. A rank that has voted does
            not run it before it knows the outcome of the change.
    """

    change: int
    expert_map: ExpertMap
    stop_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchDecision:
    """Recorded decision to switch to the next map.

    Attributes:
        digest: Digest of the next map.
        first_step: First step that uses the next map.
    """

    digest: str
    first_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """Prepare vote of a rank.

    The rank has loaded the weights of the next map and will not run the stop
    step before it knows the outcome of the change.

    Attributes:
        change: Number of the change.
        rank: Rank that votes.
        incarnation: Incarnation of the process of the rank.
    """

    change: int
    rank: RankId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class MapDocument:
    """Recorded state of the expert map of a group.

    Attributes:
        in_force: Active map; after a decision, the map of the steps before the
            first step of `next_map`.
        in_force_change: Number of the change that activated this map; 0 for
            the initial map.
        last_change: Highest change number used so far.
        members: Incarnation of each rank; a decision needs the votes of all.
        next_map: Map that the ranks prepare or switch to; None if there is no
            change.
        prepared: Incarnation of each rank whose vote for `next_map` counts.
        decision: Decision to switch to `next_map`; None before it is made.
        token: Highest fencing token of the controllers that wrote the document.
        write_id: Id of the last write. It tells a controller that got no
            response whether its write was applied.
    """

    in_force: ExpertMap
    members: Mapping[RankId, Incarnation]
    in_force_change: int = 0
    last_change: int = 0
    next_map: NextMap | None = None
    prepared: Mapping[RankId, Incarnation] = dataclasses.field(
        default_factory=dict
    )
    decision: SwitchDecision | None = None
    token: FencingToken = FencingToken(0)
    write_id: OperationId = OperationId("")

    @property
    def phase(self) -> Phase:
        """Phase of the current change; IDLE if there is none."""
        if self.next_map is None:
            return Phase.IDLE
        if self.decision is not None:
            return Phase.DECIDED
        if dict(self.prepared) == dict(self.members):
            return Phase.READY
        return Phase.PREPARING

    @property
    def decided_change(self) -> int:
        """Highest number of a change that was decided."""
        if self.next_map is not None and self.decision is not None:
            return self.next_map.change
        return self.in_force_change


def get_map_key(group: ModelGroupId) -> str:
    """Returns the key of the map document of a group."""
    return f"groups/{group}/map"


def get_lease_key(group: ModelGroupId) -> str:
    """Returns the key of the controller lease of a group."""
    return f"groups/{group}/lease"


def get_era_key(group: ModelGroupId) -> str:
    """Returns the key of the newest era of the store that is safe to use.

    Every holder of a controller lease of an earlier era has stopped.
    """
    return f"groups/{group}/era"


def get_token_key(group: ModelGroupId) -> str:
    """Returns the key of the highest fencing token of a group."""
    return f"groups/{group}/token"


def begin_change(
    document: MapDocument, expert_map: ExpertMap, stop_step: int
) -> MapDocument:
    """Starts a change; only one may be in progress at a time."""
    require(
        document.phase is Phase.IDLE,
        "one_map_change_at_a_time",
        f"change {document.last_change} is {document.phase.value}",
        Verdict.NOT_RUN,
    )
    require(
        len(expert_map.slots) == len(document.in_force.slots),
        "map_covers_every_rank",
        f"{len(expert_map.slots)} ranks instead of "
        f"{len(document.in_force.slots)}",
        Verdict.NOT_RUN,
    )
    change = document.last_change + 1
    return dataclasses.replace(
        document,
        last_change=change,
        next_map=NextMap(change, expert_map, stop_step),
        prepared={},
    )


def record_prepared(
    document: MapDocument, votes: Iterable[Prepared]
) -> MapDocument:
    """Records votes; ignores those of other changes and incarnations."""
    if document.phase in (Phase.IDLE, Phase.DECIDED):
        return document
    valid_votes = {
        vote.rank: vote.incarnation
        for vote in votes
        if vote.change == document.next_map.change
        and document.members.get(vote.rank) == vote.incarnation
    }
    return dataclasses.replace(
        document, prepared={**document.prepared, **valid_votes}
    )


def decide_switch(document: MapDocument) -> MapDocument:
    """Records the decision to switch; all ranks must have voted."""
    require(
        document.phase is Phase.READY,
        "decision_needs_every_rank",
        f"{len(document.prepared)} of {len(document.members)} ranks prepared, "
        f"phase {document.phase.value}",
        Verdict.NOT_RUN,
    )
    next_map = document.next_map
    decision = SwitchDecision(next_map.expert_map.digest, next_map.stop_step)
    return dataclasses.replace(document, decision=decision)


def abort_change(document: MapDocument) -> MapDocument:
    """Discards the next map; not allowed after the decision."""
    require(
        document.phase is not Phase.DECIDED,
        "no_abort_after_decision",
        f"change {document.last_change} is decided",
        Verdict.NOT_RUN,
    )
    return dataclasses.replace(document, next_map=None, prepared={})


def finish_change(
    document: MapDocument, next_steps: Mapping[RankId, int]
) -> MapDocument:
    """Makes the next map the active one; every rank must have switched.

    Args:
        document: Recorded state.
        next_steps: Next step of each rank.
    """
    require(
        document.phase is Phase.DECIDED,
        "finish_needs_a_decision",
        f"phase {document.phase.value}",
        Verdict.NOT_RUN,
    )
    first = document.decision.first_step
    lagging_ranks = [
        rank
        for rank in document.members
        if next_steps.get(rank, first) <= first
    ]
    require(
        not lagging_ranks,
        "finish_needs_every_rank",
        f"ranks {lagging_ranks} have not run step {first}",
        Verdict.NOT_RUN,
    )
    return dataclasses.replace(
        document,
        in_force=document.next_map.expert_map,
        in_force_change=document.next_map.change,
        next_map=None,
        prepared={},
        decision=None,
    )


def join_rank(
    document: MapDocument, rank: RankId, incarnation: Incarnation
) -> MapDocument:
    """Records the incarnation that replaces a rank.

    Before the decision, the vote of the replaced incarnation is discarded.
    """
    require(
        rank in document.members,
        "rank_belongs_to_group",
        f"rank {rank} of {len(document.members)}",
        Verdict.NOT_RUN,
    )
    prepared = document.prepared
    if document.decision is None:
        prepared = {
            item: kept for item, kept in prepared.items() if item != rank
        }
    members = {**document.members, rank: incarnation}
    return dataclasses.replace(document, members=members, prepared=prepared)


def _encode_map(expert_map: ExpertMap) -> dict[str, object]:
    return {
        "slots": expert_map.slots,
        "ranks_per_node": expert_map.ranks_per_node,
        "digest": expert_map.digest,
    }


def _decode_map(fields: Mapping) -> ExpertMap:
    slots = tuple(tuple(experts) for experts in fields["slots"])
    expert_map = ExpertMap(slots, fields["ranks_per_node"])
    require(
        expert_map.digest == fields["digest"],
        "map_matches_its_digest",
        f"recorded {fields['digest']}, computed {expert_map.digest}",
        Verdict.NOT_RUN,
    )
    return expert_map


def encode_document(document: MapDocument) -> bytes:
    """Returns the JSON encoding of a document."""
    next_map, decision = document.next_map, document.decision
    fields = {
        "in_force": _encode_map(document.in_force),
        "in_force_change": document.in_force_change,
        "last_change": document.last_change,
        "members": document.members,
        "next": next_map
        and {
            "change": next_map.change,
            "map": _encode_map(next_map.expert_map),
            "stop_step": next_map.stop_step,
        },
        "prepared": document.prepared,
        "decision": decision and dataclasses.asdict(decision),
        "token": document.token,
        "write_id": document.write_id,
    }
    return json.dumps(fields).encode()


def decode_document(value: bytes) -> MapDocument:
    """Returns a document from its JSON and checks the digests of its maps."""
    fields = json.loads(value)
    next_fields, decision = fields["next"], fields["decision"]
    return MapDocument(
        in_force=_decode_map(fields["in_force"]),
        in_force_change=fields["in_force_change"],
        last_change=fields["last_change"],
        members={RankId(int(k)): v for k, v in fields["members"].items()},
        next_map=next_fields
        and NextMap(
            next_fields["change"],
            _decode_map(next_fields["map"]),
            next_fields["stop_step"],
        ),
        prepared={RankId(int(k)): v for k, v in fields["prepared"].items()},
        decision=decision and SwitchDecision(**decision),
        token=fields["token"],
        write_id=fields["write_id"],
    )
