"""Fencing of engine orders and changes of an expert map."""

from chicoryplank.orders._documents import (
    MapDocument,
    NextMap,
    Phase,
    Prepared,
    SwitchDecision,
    decode_document,
    encode_document,
    get_lease_key,
    get_map_key,
)
from chicoryplank.orders._fence import FenceGate, Order
from chicoryplank.orders._group import (
    Operation,
    OrderResult,
    RankCounts,
    RankOrder,
    RankPort,
    RankState,
    RankUnreachableError,
)
from chicoryplank.orders._lease import ControllerLease, get_lease_owner
from chicoryplank.orders._map_change import (
    MapChange,
    TokenSource,
    create_document,
    join_group,
    read_document,
    read_highest_token,
    record_token,
)
from chicoryplank.orders._rank import RankMap
from chicoryplank.orders._switch import (
    VERSIONS_PER_TOKEN,
    GroupSwitch,
    SwitchParameters,
    SwitchResult,
)

__all__ = [
    "VERSIONS_PER_TOKEN",
    "ControllerLease",
    "FenceGate",
    "GroupSwitch",
    "MapChange",
    "MapDocument",
    "NextMap",
    "Operation",
    "Order",
    "OrderResult",
    "Phase",
    "Prepared",
    "RankCounts",
    "RankMap",
    "RankOrder",
    "RankPort",
    "RankState",
    "RankUnreachableError",
    "SwitchDecision",
    "SwitchParameters",
    "SwitchResult",
    "TokenSource",
    "create_document",
    "decode_document",
    "encode_document",
    "get_lease_key",
    "get_lease_owner",
    "get_map_key",
    "join_group",
    "read_document",
    "read_highest_token",
    "record_token",
]
