"""Replication and placement of experts, trading load skew for copying cost."""

from chicoryplank.lazy import make_lazy_exports

__getattr__, __all__ = make_lazy_exports(
    __name__,
    {
        "_change_costs": ("ChangeCosts",),
        "_estimator": ("LoadEstimator",),
        "_incremental": (
            "IncrementalPolicy",
            "RebalanceSettings",
            "make_settings",
        ),
        "_joint": (
            "JointDecision",
            "JointLimits",
            "JointSlots",
            "compute_joint_skew",
            "improve_joint_map",
        ),
        "_map": (
            "ExpertMap",
            "Move",
            "compute_rank_loads",
            "compute_skew",
            "compute_skew_bound",
            "list_moves",
            "make_map",
        ),
        "_policy": (
            "Decision",
            "Policy",
            "Reason",
            "RepackPolicy",
            "StaticPolicy",
        ),
        "_runners": (
            "run_cooperatively",
            "run_to_completion",
        ),
    },
)
