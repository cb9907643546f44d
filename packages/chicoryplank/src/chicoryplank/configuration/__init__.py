"""Settings, intents, plans and the versioned configuration snapshot."""

from chicoryplank.configuration._settings import (
    AgentSettings,
    EntrySettings,
    InstanceListSettings,
    RequestLimits,
    StoreSettings,
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
    "AccountConfiguration",
    "AgentSettings",
    "EntrySettings",
    "GroupConfiguration",
    "InstanceListSettings",
    "Objective",
    "Priority",
    "RequestLimits",
    "ServiceConfiguration",
    "Snapshot",
    "StoreSettings",
]
