"""The recorded state of a group's expert map and its transitions."""

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
    """Progress of a change, derived from the recorded fields."""

    IDLE = "idle"
    PREPARING = "preparing"
    READY = "ready"
    DECIDED = "decided"


@dataclasses.dataclass(frozen=True, slots=True)
class NextMap:
    """A map that ranks prepare.

    Attributes:
        change: Number of the change; never used again after an abort.
        expert_map: Map to bring into force.
        stop_step: First step that a prepared rank runs only after it has
            learnt the outcome; also the first step of the new map.
    """

    change: int
    expert_map: ExpertMap
    stop_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchDecision:
    """The recorded decision to switch.

    Attributes:
        digest: Digest of the next map.
        first_step: First step that uses it.
    """

    digest: str
    first_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prepared:
    """A rank's promise not to run the stop step before it knows the outcome.

    Attributes:
        change: Number of the change.
        rank: Rank that holds the weights of the next map.
        incarnation: Incarnation of the rank's process.
    """

    change: int
    rank: RankId
    incarnation: Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class MapDocument:
    """Everything that is recorded about the expert map of a group.

    Attributes:
        in_force: Map in force before the next one.
        in_force_change: Change that brought it into force; 0 for the first.
        last_change: Highest change number used so far.
        members: Incarnation of each rank; a change needs all of them.
        next_map: Map being prepared, if any.
        prepared: Incarnations that have promised to stop for `next_map`.
        decision: Decision on `next_map`, if it has been made.
        token: Highest fencing token of a controller that wrote or took over.
        write_id: Id of the last write, to settle lost answers.
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
        """Progress of the change."""
        if self.next_map is None:
            return Phase.IDLE
        if self.decision is not None:
            return Phase.DECIDED
        if dict(self.prepared) == dict(self.members):
            return Phase.READY
        return Phase.PREPARING

    @property
    def decided_change(self) -> int:
        """Highest change that has been decided."""
        if self.next_map is not None and self.decision is not None:
            return self.next_map.change
        return self.in_force_change


def get_map_key(group: ModelGroupId) -> str:
    """Returns the key of the map document of a group."""
    return f"groups/{group}/map"


def get_lease_key(group: ModelGroupId) -> str:
    """Returns the key of the controller lease of a group."""
    return f"groups/{group}/lease"


def get_token_key(group: ModelGroupId) -> str:
    """Returns the key that holds the highest token of the controllers."""
    return f"groups/{group}/token"


def begin_change(
    document: MapDocument, expert_map: ExpertMap, stop_step: int
) -> MapDocument:
    """Records a next map; only one change is in progress at a time."""
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
    document: MapDocument, answers: Iterable[Prepared]
) -> MapDocument:
    """Records promises; those of other changes or incarnations are ignored."""
    if document.phase in (Phase.IDLE, Phase.DECIDED):
        return document
    current = {
        answer.rank: answer.incarnation
        for answer in answers
        if answer.change == document.next_map.change
        and document.members.get(answer.rank) == answer.incarnation
    }
    return dataclasses.replace(
        document, prepared={**document.prepared, **current}
    )


def decide_switch(document: MapDocument) -> MapDocument:
    """Records the decision; every member must have promised to stop."""
    require(
        document.phase is Phase.READY,
        "decision_needs_every_rank",
        f"{len(document.prepared)} of {len(document.members)} ranks prepared, "
        f"phase {document.phase.value}",
        Verdict.NOT_RUN,
    )
    following = document.next_map
    decision = SwitchDecision(following.expert_map.digest, following.stop_step)
    return dataclasses.replace(document, decision=decision)


def abort_change(document: MapDocument) -> MapDocument:
    """Drops the next map; not allowed after the decision."""
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
    """Makes the next map the one in force once every rank has switched.

    Args:
        document: Recorded state.
        next_steps: For each rank, the next step that it will run.
    """
    require(
        document.phase is Phase.DECIDED,
        "finish_needs_a_decision",
        f"phase {document.phase.value}",
        Verdict.NOT_RUN,
    )
    first = document.decision.first_step
    behind = [
        rank
        for rank in document.members
        if next_steps.get(rank, first) <= first
    ]
    require(
        not behind,
        "finish_needs_every_rank",
        f"ranks {behind} have not run step {first}",
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
    """Records a replacement; a promise of its predecessor no longer counts."""
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
    """Returns the document as JSON."""
    following, decision = document.next_map, document.decision
    fields = {
        "in_force": _encode_map(document.in_force),
        "in_force_change": document.in_force_change,
        "last_change": document.last_change,
        "members": document.members,
        "next": following
        and {
            "change": following.change,
            "map": _encode_map(following.expert_map),
            "stop_step": following.stop_step,
        },
        "prepared": document.prepared,
        "decision": decision and dataclasses.asdict(decision),
        "token": document.token,
        "write_id": document.write_id,
    }
    return json.dumps(fields).encode()


def decode_document(value: bytes) -> MapDocument:
    """Returns the document from its JSON; maps are checked against digests."""
    fields = json.loads(value)
    following, decision = fields["next"], fields["decision"]
    return MapDocument(
        in_force=_decode_map(fields["in_force"]),
        in_force_change=fields["in_force_change"],
        last_change=fields["last_change"],
        members={RankId(int(k)): v for k, v in fields["members"].items()},
        next_map=following
        and NextMap(
            following["change"],
            _decode_map(following["map"]),
            following["stop_step"],
        ),
        prepared={RankId(int(k)): v for k, v in fields["prepared"].items()},
        decision=decision and SwitchDecision(**decision),
        token=fields["token"],
        write_id=fields["write_id"],
    )
