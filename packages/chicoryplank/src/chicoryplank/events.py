"""Numbered log events; docs/events.md is their catalogue."""

import enum

import logbook

_LOGGER = logbook.Logger("chicoryplank")


class Event(enum.Enum):
    """Log events as (number, level, template).

    Numbers are stable, so that operators can search and alert on them.
    """

    APPLICATION_STARTED = (1001, logbook.INFO, "{name} started")
    APPLICATION_STOPPED = (1002, logbook.INFO, "{name} stopped")
    HOOK_FAILED = (1003, logbook.ERROR, "hook {hook} failed: {error}")
    INVARIANT_VIOLATED = (1004, logbook.CRITICAL, "invariant {name}: {detail}")
    AGENT_CONNECTED = (1201, logbook.INFO, "connected to agent {agent}")
    AGENT_DISCONNECTED = (
        1202,
        logbook.WARNING,
        "connection to agent {agent} broke: {error}",
    )
    ENGINE_FAILED = (1203, logbook.WARNING, "backend server failed: {error}")
    ENTRY_DISCONNECTED = (
        1204,
        logbook.INFO,
        "connection of entry {entry} broke: {error}",
    )
    AGENT_STALLED = (1205, logbook.WARNING, "agent {agent} is silent")
    FRAME_REJECTED = (
        1206,
        logbook.ERROR,
        "a frame of agent {agent} was rejected: {error}",
    )
    REQUEST_FAILED = (
        1207,
        logbook.ERROR,
        "unexpected fault in {method} {path}: {error}",
    )
    BATCH_REJECTED = (
        1208,
        logbook.ERROR,
        "a message of {peer} was rejected: {error}",
    )
    CLAIM_HELD_ELSEWHERE = (
        1601,
        logbook.WARNING,
        "a key of {service} is claimed by another attempt",
    )
    CLAIM_NOT_RELEASED = (
        1602,
        logbook.WARNING,
        "a claim could not be released: {error}",
    )
    INSTANCE_LIST_UNAVAILABLE = (
        1701,
        logbook.WARNING,
        "instance list: {error}",
    )
    CONFIGURATION_UNAVAILABLE = (
        1302,
        logbook.WARNING,
        "configuration: {error}",
    )
    PARTS_COLLECTED = (
        1303,
        logbook.INFO,
        "{count} parts of old versions deleted",
    )
    CONFIGURATION_APPLIED = (1301, logbook.INFO, "version {version} in force")
    LEASE_ACQUIRED = (
        1501,
        logbook.INFO,
        "controller of group {group} with token {token}",
    )
    LEASE_LOST = (
        1502,
        logbook.WARNING,
        "lease of group {group} with token {token} has lapsed",
    )
    MAP_DECIDED = (
        1503,
        logbook.INFO,
        "group {group} switches its expert map in change {change}",
    )
    MAP_CHANGE_ABORTED = (
        1504,
        logbook.INFO,
        "group {group} keeps its expert map, change {change} is aborted",
    )
    ORDER_REFUSED = (1505, logbook.WARNING, "order {order} refused: {detail}")
    TOKEN_UNAVAILABLE = (
        1506,
        logbook.WARNING,
        "the highest fencing token is unknown: {error}",
    )
    ORDER_FAILED = (
        1507,
        logbook.WARNING,
        "order {kind} failed at agent {agent}: {error}",
    )
    VERSION_ORDERED = (
        1508,
        logbook.INFO,
        "agent {agent} of group {group} changes to version {version}",
    )
    CONTROL_ROUND_FAILED = (
        1901,
        logbook.WARNING,
        "control of group {group} is delayed: {error}",
    )
    MAP_CHANGE_BEGUN = (
        1902,
        logbook.INFO,
        "group {group} begins change {change}: {moves} moves, skew {skew}",
    )
    MAP_CHANGE_FINISHED = (
        1903,
        logbook.INFO,
        "every rank of group {group} runs the map of change {change}",
    )
    GROUP_INCOMPLETE = (
        1904,
        logbook.WARNING,
        "group {group} has no expert map yet: {detail}",
    )

    LINES_DROPPED = (
        1005,
        logbook.WARNING,
        "{count} log lines were dropped",
    )
    DRAINING = (
        1006,
        logbook.INFO,
        "stopping; {in_progress} requests are in progress",
    )
    SETTINGS_READ = (
        1007,
        logbook.INFO,
        "changed settings are in force; only at the next start: [{delayed}]",
    )
    SETTINGS_REJECTED = (
        1008,
        logbook.ERROR,
        "changed settings are not used: {error}",
    )
    REQUEST_ANSWERED = (
        1210,
        logbook.INFO,
        "request {request} on {route} was answered by {replica}",
    )
    REQUEST_REFUSED = (
        1211,
        logbook.INFO,
        "request {request} on {route} ended with {code}: {detail}",
    )
    ATTEMPT_FAILED = (
        1212,
        logbook.INFO,
        "request {request} failed at {replica} ({stage}): {detail}",
    )
    STREAM_RESUMED = (
        1213,
        logbook.INFO,
        "request {request} goes on after event {after}: {error}",
    )
    CALLER_LEFT = (
        1214,
        logbook.INFO,
        "the caller of request {request} on {route} has left",
    )
    STORE_LOST = (1304, logbook.WARNING, "the store is lost: {error}")
    STORE_REGAINED = (
        1305,
        logbook.INFO,
        "the store answers, revision {revision}",
    )
    STORE_HISTORY_GONE = (
        1306,
        logbook.INFO,
        "all items are read anew after revision {revision}",
    )
    ITEM_REJECTED = (
        1307,
        logbook.WARNING,
        "item {key} at revision {revision} is not used: {error}",
    )
    REGISTRATION_FAILED = (
        1308,
        logbook.WARNING,
        "registration {key}: {error}",
    )
    MAP_LEFTOVER = (
        1905,
        logbook.WARNING,
        "group {group} is held by an unfinished change of epoch {epoch}",
    )
    MAP_ARMED = (
        1906,
        logbook.INFO,
        "every rank of group {group} is armed for change {change}",
    )
    MAP_CHANGE_WITHDRAWN = (
        1907,
        logbook.INFO,
        "change {change} of group {group} ended as {result}",
    )
    RANK_REFUSED = (
        1908,
        logbook.WARNING,
        "rank {rank} answers {result} to {operation} of version {version}",
    )
    ORDER_UNKNOWN = (
        1910,
        logbook.WARNING,
        "{operation} of version {version} at {replica} is open: {detail}",
    )
    RANKS_MISSING = (
        1909,
        logbook.WARNING,
        "ranks {ranks} have not followed in epoch {epoch}",
    )
    GROUP_HELD = (
        1913,
        logbook.INFO,
        "rank {rank} holds its group at pass {step} for version {version}",
    )
    GROUP_RELEASED = (
        1914,
        logbook.INFO,
        "rank {rank} is released from the hold at pass {step}",
    )
    SERVICE_STANDS = (
        1803,
        logbook.WARNING,
        "all replicas stand still with {in_flight} requests",
    )
    SERVICE_DOWN = (
        1804,
        logbook.WARNING,
        "replica {replica} says that its group does not run",
    )
    SERVICE_RUNS = (1805, logbook.INFO, "replica {replica} runs again")
    REPLICA_EJECTED = (
        1801,
        logbook.WARNING,
        "replica {replica} takes no new requests: stalled or failing",
    )
    REPLICA_RETURNED = (1802, logbook.INFO, "replica {replica} is in service")

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Severity as a logbook level."""
        return self.value[1]

    @property
    def template(self) -> str:
        """Format string of the message."""
        return self.value[2]


def emit(event: Event, **fields: object) -> None:
    """Writes one numbered event to the log.

    Args:
        event: The event.
        **fields: Values for the template; they are also kept as structured
            fields of the record.
    """
    message = event.template.format(**fields)
    _LOGGER.log(
        event.level,
        "{0}",
        message,
        extra={"event": event.number, "fields": fields},
    )
