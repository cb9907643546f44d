"""Settings, intents, plans and the versioned configuration snapshot."""

from chicoryplank.configuration._capacity import (
    Capacity,
    GroupNeed,
    InsufficientCapacityError,
    compute_needs,
)
from chicoryplank.configuration._changes import (
    Change,
    ChangeRecord,
    diff_snapshots,
    encode_changes,
    format_changes,
)
from chicoryplank.configuration._checks import (
    InvalidInputError,
    Problem,
    is_address,
)
from chicoryplank.configuration._collect import collect_parts
from chicoryplank.configuration._confirm import (
    Confirmation,
    PlanSupersededError,
    confirm,
    read_history,
)
from chicoryplank.configuration._intent import (
    Edits,
    Intent,
    LeavingEdits,
    encode_intent,
    parse_intent,
)
from chicoryplank.configuration._parts import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    decode_root,
    encode_root,
)
from chicoryplank.configuration._plan import (
    Plan,
    decode_plan,
    encode_plan,
    format_plan,
    plan,
)
from chicoryplank.configuration._reader import (
    ExportedConfiguration,
    MissingPartsError,
    SnapshotReader,
)
from chicoryplank.configuration._records import encode_record, encode_records
from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    InstanceListSettings,
    RequestLimits,
    SettingsKind,
    StoreSettings,
)
from chicoryplank.configuration._settings_checks import (
    SettingDescription,
    describe_settings,
    parse_settings,
)
from chicoryplank.configuration._snapshot import (
    AccountConfiguration,
    GroupConfiguration,
    Objective,
    Priority,
    ServiceConfiguration,
    Snapshot,
)

__all__ = [
    "PART_PREFIX",
    "ROOT_KEY",
    "AccountConfiguration",
    "AgentSettings",
    "Capacity",
    "Change",
    "ChangeRecord",
    "Confirmation",
    "Edits",
    "EntrySettings",
    "ExportedConfiguration",
    "GroupConfiguration",
    "GroupNeed",
    "InstanceListSettings",
    "InsufficientCapacityError",
    "Intent",
    "InvalidInputError",
    "LeavingEdits",
    "MissingPartsError",
    "Objective",
    "Plan",
    "PlanSupersededError",
    "Priority",
    "Problem",
    "RequestLimits",
    "Root",
    "ServiceConfiguration",
    "SettingDescription",
    "SettingsKind",
    "Snapshot",
    "SnapshotReader",
    "StoreSettings",
    "collect_parts",
    "compute_needs",
    "confirm",
    "decode_plan",
    "decode_root",
    "describe_settings",
    "diff_snapshots",
    "encode_changes",
    "encode_intent",
    "encode_plan",
    "encode_record",
    "encode_records",
    "encode_root",
    "format_changes",
    "format_plan",
    "is_address",
    "parse_intent",
    "parse_settings",
    "plan",
    "read_history",
]
