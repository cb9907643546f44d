"""Numbered log events; docs/events.md documents each of them."""

import enum

import logbook

_LOGGER = logbook.Logger("chicoryplank")


class Event(enum.Enum):
    """Log events as (number, level, template).

    Numbers never change, so that operators can search for them and base alerts
    on them.
    """

    APPLICATION_STARTED = (1001, logbook.INFO, "{name} started")
    APPLICATION_STOPPED = (1002, logbook.INFO, "{name} stopped")
    HOOK_FAILED = (1003, logbook.ERROR, "hook {hook} failed: {error}")
    INVARIANT_VIOLATED = (
        1004,
        logbook.CRITICAL,
        "invariant {name} violated: {detail}",
    )
    AGENT_CONNECTED = (1201, logbook.INFO, "connected to agent {agent}")
    AGENT_DISCONNECTED = (
        1202,
        logbook.WARNING,
        "connection to agent {agent} failed: {error}",
    )
    ENGINE_FAILED = (1203, logbook.WARNING, "backend server failed: {error}")
    ENTRY_DISCONNECTED = (
        1204,
        logbook.INFO,
        "connection from entry {entry} failed: {error}",
    )
    AGENT_STALLED = (
        1205,
        logbook.WARNING,
        "agent {agent} has stopped sending messages",
    )
    FRAME_REJECTED = (
        1206,
        logbook.ERROR,
        "frame from agent {agent} rejected: {error}",
    )
    REQUEST_FAILED = (
        1207,
        logbook.ERROR,
        "unexpected error while handling {method} {path}: {error}",
    )
    BATCH_REJECTED = (
        1208,
        logbook.ERROR,
        "message from {peer} rejected: {error}",
    )
    CLAIM_HELD_ELSEWHERE = (
        1601,
        logbook.WARNING,
        "idempotency key of {service} is claimed by another attempt",
    )
    CLAIM_NOT_RELEASED = (
        1602,
        logbook.WARNING,
        "idempotency key claim could not be released: {error}",
    )
    INSTANCE_LIST_UNAVAILABLE = (
        1701,
        logbook.WARNING,
        "instance list unavailable or incomplete: {error}",
    )
    CONFIGURATION_UNAVAILABLE = (
        1302,
        logbook.WARNING,
        "configuration access failed: {error}",
    )
    PARTS_COLLECTED = (
        1303,
        logbook.INFO,
        "{count} configuration parts of superseded versions deleted",
    )
    CONFIGURATION_APPLIED = (
        1301,
        logbook.INFO,
        "configuration version {version} is active",
    )
    LEASE_ACQUIRED = (
        1501,
        logbook.INFO,
        "controller lease of group {group} acquired with token {token}",
    )
    LEASE_LOST = (
        1502,
        logbook.WARNING,
        "controller lease of group {group} with token {token} has expired",
    )
    MAP_DECIDED = (
        1503,
        logbook.INFO,
        "expert map change {change} of group {group} is decided",
    )
    MAP_CHANGE_ABORTED = (
        1504,
        logbook.INFO,
        "expert map change {change} of group {group} aborted; map unchanged",
    )
    ORDER_REFUSED = (1505, logbook.WARNING, "order {order} rejected: {detail}")
    TOKEN_UNAVAILABLE = (
        1506,
        logbook.WARNING,
        "highest fencing token could not be read: {error}",
    )
    ORDER_FAILED = (
        1507,
        logbook.WARNING,
        "order {kind} failed at agent {agent}: {error}",
    )
    VERSION_ORDERED = (
        1508,
        logbook.INFO,
        "agent {agent} of group {group} ordered to change to version {version}",
    )
    CONTROL_ROUND_FAILED = (
        1901,
        logbook.WARNING,
        "control of group {group} delayed by an error: {error}",
    )
    MAP_CHANGE_BEGUN = (
        1902,
        logbook.INFO,
        "group {group} begins expert map change {change}: "
        "{moves} moves, skew {skew}",
    )
    MAP_CHANGE_FINISHED = (
        1903,
        logbook.INFO,
        "every rank of group {group} uses the expert map of change {change}",
    )
    GROUP_INCOMPLETE = (
        1904,
        logbook.WARNING,
        "expert map of group {group} cannot be created yet: {detail}",
    )

    LINES_DROPPED = (
        1005,
        logbook.WARNING,
        "{count} log lines were dropped",
    )
    DRAINING = (
        1006,
        logbook.INFO,
        "draining before shutdown; {in_progress} requests in progress",
    )
    SETTINGS_READ = (
        1007,
        logbook.INFO,
        "changed settings applied; settings that need a restart: [{delayed}]",
    )
    SETTINGS_REJECTED = (
        1008,
        logbook.ERROR,
        "changed settings rejected: {error}",
    )
    REQUEST_ANSWERED = (
        1210,
        logbook.INFO,
        "request {request} on {route} was answered by {replica}",
    )
    REQUEST_REFUSED = (
        1211,
        logbook.INFO,
        "request {request} on {route} failed with {code}: {detail}",
    )
    ATTEMPT_FAILED = (
        1212,
        logbook.INFO,
        "attempt of request {request} at {replica} failed ({stage}): {detail}",
    )
    STREAM_RESUMED = (
        1213,
        logbook.INFO,
        "stream of request {request} resumed after event {after}: {error}",
    )
    CALLER_LEFT = (
        1214,
        logbook.INFO,
        "caller of request {request} on {route} disconnected",
    )
    RESPONSE_SKIPPED = (
        1215,
        logbook.INFO,
        "a response of {replica} with status {status} does not belong to "
        "request {request} and was skipped",
    )
    RETRY_SHARE_CHANGED = (
        1216,
        logbook.INFO,
        "the extra retries are divided among {entries} entries instead of "
        "{previous}; {registered} are registered",
    )
    SERVER_LIMIT_CHANGED = (
        1217,
        logbook.INFO,
        "replica {replica} takes {limit} requests per second instead of "
        "{previous}; learned from {source}",
    )
    SERVER_LIMIT_MALFORMED = (
        1218,
        logbook.WARNING,
        "replica {replica} names a malformed limit: {value}",
    )
    REPLICA_CRASHED = (
        1219,
        logbook.WARNING,
        "replica {replica} of {service} crashed ({evidence}) with {count} "
        "requests of this entry in progress",
    )
    QUARANTINE_BEGUN = (
        1220,
        logbook.WARNING,
        "requests with {feature} crash replicas of {service} and are refused "
        "(source: {source})",
    )
    QUARANTINE_LIFTED = (
        1221,
        logbook.WARNING,
        "requests with {feature} are no longer refused (source: {source})",
    )
    QUARANTINE_TRIAL = (
        1222,
        logbook.INFO,
        "a request with {feature} in quarantine is sent as a trial ({token})",
    )
    QUARANTINE_NOT_STORED = (
        1223,
        logbook.WARNING,
        "crashes and verdicts could not be stored: {error}",
    )
    REPLICA_LEAVING = (
        1224,
        logbook.INFO,
        "replica {replica} says in a response that it leaves; it gets no new "
        "request",
    )
    REPLICA_PAUSED = (
        1225,
        logbook.INFO,
        "replica {replica} asks for no new request for {pause_s} s",
    )
    REPLICA_PAUSE_MALFORMED = (
        1226,
        logbook.WARNING,
        "replica {replica} asks for a pause that is not plausible: {value}; "
        "{applied_s} s are used",
    )
    ZONE_EVACUATED = (
        1310,
        logbook.WARNING,
        "zone {zone} is evacuated; its {replicas} replicas get no new requests",
    )
    ZONE_READMITTED = (
        1311,
        logbook.INFO,
        "evacuation of zone {zone} has ended; its {replicas} replicas get "
        "requests again",
    )
    EVACUATED_ZONE_UNKNOWN = (
        1312,
        logbook.WARNING,
        "evacuated zone {zone} has no replica; evacuating it changes nothing",
    )
    EVACUATION_UNCONFIRMED = (
        1313,
        logbook.WARNING,
        "the evacuation of zone {zone} is missing in the restored store; the "
        "zone stays evacuated for now",
    )
    REPLICA_COLD = (
        1227,
        logbook.INFO,
        "replica {replica} is cold for {for_s} s (source: {cause})",
    )
    REPLICA_WARM = (
        1228,
        logbook.INFO,
        "replica {replica} is warm",
    )
    COLD_TIME_UNREADABLE = (
        1229,
        logbook.WARNING,
        "the registration of replica {replica} has no readable remaining cold "
        "time; {applied_s} s are used",
    )
    RAMP_BEGUN = (
        1230,
        logbook.INFO,
        "slow start of replica {replica} begins (cause: {cause})",
    )
    RAMP_ENDED = (
        1231,
        logbook.INFO,
        "slow start of replica {replica} ended after {taken_s} s ({result})",
    )
    STORE_LOST = (
        1304,
        logbook.WARNING,
        "connection to the store lost: {error}",
    )
    STORE_REGAINED = (
        1305,
        logbook.INFO,
        "connection to the store restored at revision {revision}",
    )
    STORE_HISTORY_GONE = (
        1306,
        logbook.INFO,
        "store history after revision {revision} is gone; rereading all items",
    )
    STORE_WATCH_ENDED = (
        1314,
        logbook.INFO,
        "watch of the store after revision {revision} ended without a "
        "response: {error}",
    )
    STORE_VIEW_FAILED = (
        1315,
        logbook.ERROR,
        "changes of the store after revision {revision} could not be applied; "
        "rereading all items: {error}",
    )
    STORE_RESTORED = (
        1309,
        logbook.WARNING,
        "the store was restored from an older copy; it is in era {era} instead "
        "of {known}",
    )
    ERA_UNCONFIRMED = (
        1509,
        logbook.INFO,
        "controller of group {group} waits for holders of leases of before "
        "era {era} to stop",
    )
    ITEM_REJECTED = (
        1307,
        logbook.WARNING,
        "item {key} at revision {revision} ignored: {error}",
    )
    REPLICA_RESTARTED = (
        1320,
        logbook.INFO,
        "replica {replica} restarted: started at {started_ms}, before at "
        "{former_ms}; {in_flight} requests of the former process discarded",
    )
    REPLICA_SERVICE_UNKNOWN = (
        1321,
        logbook.WARNING,
        "replica {replica} is not used: its service {service} is not "
        "configured",
    )
    SLOW_CALLER_ABORTED = (
        1322,
        logbook.WARNING,
        "connection of a slow caller aborted with {unread_bytes} unread bytes, "
        "since unread responses take too much memory",
    )
    CLIENTS_SHED = (
        1323,
        logbook.WARNING,
        "{count} clients shed, since clients take too much memory or too many "
        "connections; the last one: {reason}, {held_bytes} bytes",
    )
    REGISTRATION_FAILED = (
        1308,
        logbook.WARNING,
        "registration {key} could not be updated: {error}",
    )
    MAP_LEFTOVER = (
        1905,
        logbook.WARNING,
        "unfinished expert map change of epoch {epoch} holds group {group}",
    )
    MAP_ARMED = (
        1906,
        logbook.INFO,
        "every rank of group {group} is armed for expert map change {change}",
    )
    MAP_CHANGE_WITHDRAWN = (
        1907,
        logbook.INFO,
        "expert map change {change} of group {group} ended with {result}",
    )
    RANK_REFUSED = (
        1908,
        logbook.WARNING,
        "rank {rank} responded {result} to {operation} of version {version}",
    )
    ORDER_UNKNOWN = (
        1910,
        logbook.WARNING,
        "outcome of {operation} of version {version} at {replica} is unknown: "
        "{detail}",
    )
    RANKS_MISSING = (
        1909,
        logbook.WARNING,
        "ranks {ranks} have not switched expert maps in epoch {epoch}",
    )
    GROUP_HELD = (
        1913,
        logbook.INFO,
        "rank {rank} holds its group at step {step} for version {version}",
    )
    GROUP_RELEASED = (
        1914,
        logbook.INFO,
        "rank {rank} no longer holds its group at step {step}",
    )
    SERVICE_STANDS = (
        1803,
        logbook.WARNING,
        "all replicas are stalled with {in_flight} requests in flight",
    )
    SERVICE_DOWN = (
        1804,
        logbook.WARNING,
        "replica {replica} reports that its group is down",
    )
    SERVICE_RUNS = (
        1805,
        logbook.INFO,
        "service is up again: replica {replica} produced output",
    )
    REPLICA_EJECTED = (
        1801,
        logbook.WARNING,
        "replica {replica} ejected from routing: stalled or failing",
    )
    REPLICA_RETURNED = (
        1802,
        logbook.INFO,
        "replica {replica} returned to routing",
    )

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Severity, as a logbook level."""
        return self.value[1]

    @property
    def template(self) -> str:
        """Format string of the message."""
        return self.value[2]


def emit(event: Event, **fields: object) -> None:
    """Writes one numbered event to the log.

    Args:
        event: Event to log.
        **fields: Values for the placeholders of the template. They are also
            stored as structured fields of the record.
    """
    message = event.template.format(**fields)
    _LOGGER.log(
        event.level,
        "{0}",
        message,
        extra={"event": event.number, "fields": fields},
    )
