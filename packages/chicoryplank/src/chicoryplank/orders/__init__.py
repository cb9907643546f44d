"""Fencing of engine orders, and changes of the expert map of a group."""

from chicoryplank.lazy import make_lazy_exports

__getattr__, __all__ = make_lazy_exports(
    __name__,
    {
        "_documents": (
            "MapDocument",
            "NextMap",
            "Phase",
            "Prepared",
            "SwitchDecision",
            "decode_document",
            "encode_document",
            "get_lease_key",
            "get_map_key",
        ),
        "_fence": (
            "FenceGate",
            "Order",
        ),
        "_group": (
            "Operation",
            "OrderResult",
            "RankCounts",
            "RankOrder",
            "RankPort",
            "RankState",
            "RankUnreachableError",
        ),
        "_lease": (
            "ControllerLease",
            "get_lease_owner",
        ),
        "_map_change": (
            "MapChange",
            "TokenSource",
            "create_document",
            "join_group",
            "read_document",
            "read_highest_token",
            "record_token",
        ),
        "_rank_map": ("RankMapSelector",),
        "_switch": (
            "VERSIONS_PER_TOKEN",
            "GroupSwitch",
            "SwitchParameters",
            "SwitchResult",
        ),
    },
)
