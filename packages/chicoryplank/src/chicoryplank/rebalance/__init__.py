"""Expert replication and placement, weighed by skew and cost."""

from chicoryplank.rebalance._estimator import LoadEstimator
from chicoryplank.rebalance._incremental import (
    IncrementalPolicy,
    RebalanceSettings,
    make_settings,
)
from chicoryplank.rebalance._joint import (
    JointDecision,
    JointLimits,
    JointSlots,
    compute_joint_skew,
    improve_joint_map,
)
from chicoryplank.rebalance._map import (
    ExpertMap,
    Move,
    compute_rank_loads,
    compute_skew,
    compute_skew_bound,
    list_moves,
    make_map,
)
from chicoryplank.rebalance._policy import (
    Decision,
    Policy,
    Reason,
    RepackPolicy,
    StaticPolicy,
    run_between_tasks,
    run_steps,
)

__all__ = [
    "Decision",
    "ExpertMap",
    "IncrementalPolicy",
    "JointDecision",
    "JointLimits",
    "JointSlots",
    "LoadEstimator",
    "Move",
    "Policy",
    "Reason",
    "RebalanceSettings",
    "RepackPolicy",
    "StaticPolicy",
    "compute_joint_skew",
    "compute_rank_loads",
    "compute_skew",
    "compute_skew_bound",
    "improve_joint_map",
    "list_moves",
    "make_map",
    "make_settings",
    "run_between_tasks",
    "run_steps",
]
