"""Settings files, and the versioned configuration that operators change.

Operators write an intent, review the plan that is made from it and confirm the
plan, which activates a new version of the configuration. Every process reads
the active version as an immutable snapshot.
"""

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
from chicoryplank.configuration._confirmation import (
    Confirmation,
    PlanSupersededError,
    confirm_plan,
    read_history,
)
from chicoryplank.configuration._garbage_collection import (
    delete_unreferenced_parts,
)
from chicoryplank.configuration._intent import (
    EvacuationEdits,
    Intent,
    LeavingEdits,
    ResourceEdits,
    encode_intent,
    parse_intent,
)
from chicoryplank.configuration._lint import (
    CheckCode,
    CheckReport,
    Finding,
    Severity,
    check_intent,
    check_settings,
    decode_shown_version,
    encode_check_report,
    format_check_report,
    locate_findings,
    make_warning,
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
    create_plan,
    decode_plan,
    encode_plan,
    format_plan,
)
from chicoryplank.configuration._reader import (
    ExportedConfiguration,
    MissingPartsError,
    SnapshotReader,
)
from chicoryplank.configuration._resources import (
    encode_resource,
    encode_resources,
)
from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    InstanceListSettings,
    RequestLimits,
    SettingsKind,
    StoreSettings,
)
from chicoryplank.configuration._settings_parser import (
    SettingDescription,
    describe_settings,
    detect_file_kind,
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
from chicoryplank.configuration._traffic_changes import (
    describe_traffic_changes,
)
from chicoryplank.configuration._traffic_lint import (
    TrafficDocument,
    TrafficEnvironment,
    find_traffic_warnings,
)
from chicoryplank.configuration._validators import (
    InvalidInputError,
    Problem,
    is_address,
)

__all__ = [
    "locate_findings",
    "make_warning",
    "find_traffic_warnings",
    "describe_traffic_changes",
    "check_settings",
    "check_intent",
    "TrafficEnvironment",
    "TrafficDocument",
    "Severity",
    "Finding",
    "CheckReport",
    "CheckCode",
    "PART_PREFIX",
    "ROOT_KEY",
    "AccountConfiguration",
    "AgentSettings",
    "Capacity",
    "Change",
    "ChangeRecord",
    "Confirmation",
    "EntrySettings",
    "EvacuationEdits",
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
    "ResourceEdits",
    "Root",
    "ServiceConfiguration",
    "SettingDescription",
    "SettingsKind",
    "Snapshot",
    "SnapshotReader",
    "StoreSettings",
    "compute_needs",
    "confirm_plan",
    "create_plan",
    "decode_plan",
    "decode_root",
    "decode_shown_version",
    "delete_unreferenced_parts",
    "describe_settings",
    "detect_file_kind",
    "diff_snapshots",
    "encode_changes",
    "encode_check_report",
    "encode_intent",
    "encode_plan",
    "encode_resource",
    "encode_resources",
    "encode_root",
    "format_changes",
    "format_check_report",
    "format_plan",
    "is_address",
    "parse_intent",
    "parse_settings",
    "read_history",
]
