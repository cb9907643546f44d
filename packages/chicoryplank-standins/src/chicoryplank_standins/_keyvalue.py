"""State of the simulated key-value store, without I/O."""

import base64
import dataclasses
from collections import deque
from collections.abc import Callable
from typing import Any

MAX_EVENTS = 10_000
MAX_VALUE_BYTES = 1_048_576


class KeyValueError(Exception):
    """A request that gets an error response from the store.

    Args:
        status: HTTP status.
        code: gRPC status code.
        message: Description of the error.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, revisions and lease; lease id 0 means no lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int

    def to_json(self) -> dict[str, str]:
        """Returns the fields in the JSON encoding of etcd, without zeros."""
        fields = {
            "key": encode(self.key),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "value": encode(self.value),
            "lease": str(self.lease_id),
        }
        return {name: text for name, text in fields.items() if text != "0"}


@dataclasses.dataclass(slots=True)
class Lease:
    """Time to live, expiry time and keys of a lease; times in seconds."""

    ttl_s: int
    expires_s: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


def encode(data: bytes) -> str:
    """Encodes bytes in base64."""
    return base64.b64encode(data).decode()


def decode(text: str | None) -> bytes:
    """Decodes base64 text; returns no bytes for a missing field."""
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError as error:
        raise KeyValueError(400, 3, f"invalid base64: {error}") from error


def is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Tells whether a key is in a range, with the conventions of etcd.

    An empty end stands for the single key `start`, and an end of one zero byte
    for no upper bound.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class KeyValueState:
    """Keys, leases and change history of the store.

    Args:
        elapsed: Returns the monotonic time in seconds, for leases.
    """

    def __init__(self, elapsed: Callable[[], float]) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.events: deque[tuple[int, dict[str, Any], bytes]] = deque()
        self._elapsed = elapsed
        self._items: dict[bytes, KeyValue] = {}
        self._leases: dict[int, Lease] = {}
        self._last_lease_id = 7_000

    def expire_leases(self) -> bool:
        """Deletes expired leases and their keys; tells if there were any."""
        now = self._elapsed()
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now
        ]
        for lease_id in expired:
            self._remove_lease(lease_id)
        return bool(expired)

    def make_header(self) -> dict[str, str]:
        """Creates the header of a response."""
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "1",
        }

    def read_range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Returns the response to a range request."""
        start = decode(request.get("key"))
        end = decode(request.get("range_end"))
        keys = self._find_keys(start, end)
        response: dict[str, Any] = {"header": self.make_header()}
        if keys:
            response["kvs"] = [self._items[key].to_json() for key in keys]
            response["count"] = str(len(keys))
        return response

    def delete_range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Deletes the keys of a range in one revision."""
        return self.run_transaction(
            {"success": [{"request_delete_range": request}]}
        )["responses"][0]["response_delete_range"]

    def run_transaction(self, request: dict[str, Any]) -> dict[str, Any]:
        """Executes a transaction; all its writes share one revision."""
        succeeded = all(
            self._evaluate_compare(compare)
            for compare in request.get("compare", ())
        )
        operations = request.get("success" if succeeded else "failure", ())
        self._validate_operations(operations)
        revision = self.revision + 1
        responses = [
            self._apply_operation(operation, revision)
            for operation in operations
        ]
        response: dict[str, Any] = {"header": self.make_header()}
        if succeeded:
            response["succeeded"] = True
        if responses:
            response["responses"] = responses
        return response

    def grant_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Grants a lease."""
        ttl_s = int(request.get("TTL", 0))
        if ttl_s <= 0:
            raise KeyValueError(400, 3, "TTL must be positive")
        self._last_lease_id += 1
        lease_id = int(request.get("ID", 0)) or self._last_lease_id
        self._leases[lease_id] = Lease(ttl_s, self._elapsed() + ttl_s)
        return {
            "header": self.make_header(),
            "ID": str(lease_id),
            "TTL": str(ttl_s),
        }

    def renew_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Renews a lease; the response has no TTL if the lease has expired."""
        lease_id = int(request.get("ID", 0))
        lease = self._leases.get(lease_id)
        result = {"header": self.make_header(), "ID": str(lease_id)}
        if lease is not None:
            lease.expires_s = self._elapsed() + lease.ttl_s
            result["TTL"] = str(lease.ttl_s)
        return {"result": result}

    def revoke_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Deletes a lease and its keys."""
        lease_id = int(request.get("ID", 0))
        if lease_id not in self._leases:
            raise KeyValueError(404, 5, "etcdserver: requested lease not found")
        self._remove_lease(lease_id)
        return {"header": self.make_header()}

    def read_events(
        self, start: bytes, end: bytes, after: int
    ) -> list[dict[str, Any]]:
        """Returns the changes of a range after a revision, oldest first."""
        newer = []
        for revision, event, key in reversed(self.events):
            if revision <= after:
                break
            if is_in_range(key, start, end):
                newer.append(event)
        return newer[::-1]

    def _find_keys(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._items else []
        return sorted(
            key for key in self._items if is_in_range(key, start, end)
        )

    def _evaluate_compare(self, compare: dict[str, Any]) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise KeyValueError(
                400, 3, "only the comparison result EQUAL is supported"
            )
        target = compare.get("target", "")
        if target not in ("MOD", "CREATE"):
            raise KeyValueError(
                400, 3, f"comparison target {target!r} is not supported"
            )
        field = "mod_revision" if target == "MOD" else "create_revision"
        pair = self._items.get(decode(compare.get("key")))
        actual = 0 if pair is None else getattr(pair, field)
        return actual == int(compare.get(field, 0))

    def _validate_operations(self, operations: list[dict[str, Any]]) -> None:
        kinds = {"request_put", "request_delete_range", "request_range"}
        for operation in operations:
            if len(operation.keys() & kinds) != 1:
                raise KeyValueError(
                    400, 3, "an operation must contain exactly one request"
                )
            for request in operation.values():
                decode(request.get("key"))
                decode(request.get("range_end"))
            if put := operation.get("request_put"):
                lease_id = int(put.get("lease", 0))
                if lease_id and lease_id not in self._leases:
                    raise KeyValueError(
                        404, 5, "etcdserver: requested lease not found"
                    )
                if len(decode(put.get("value"))) > MAX_VALUE_BYTES:
                    raise KeyValueError(
                        400, 3, "etcdserver: request is too large"
                    )

    def _apply_operation(
        self, operation: dict[str, Any], revision: int
    ) -> dict[str, Any]:
        if "request_put" in operation:
            self._put(operation["request_put"], revision)
            return {"response_put": {"header": self.make_header()}}
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            start = decode(request.get("key"))
            keys = self._find_keys(start, decode(request.get("range_end")))
            for key in keys:
                self._delete(key, revision)
            response: dict[str, Any] = {"header": self.make_header()}
            if keys:
                response["deleted"] = str(len(keys))
            return {"response_delete_range": response}
        response = self.read_range(operation["request_range"])
        return {"response_range": response}

    def _put(self, put: dict[str, Any], revision: int) -> None:
        key = decode(put.get("key"))
        lease_id = int(put.get("lease", 0))
        previous = self._items.get(key)
        pair = KeyValue(
            key,
            decode(put.get("value")),
            revision if previous is None else previous.create_revision,
            revision,
            1 if previous is None else previous.version + 1,
            lease_id,
        )
        if previous is not None and previous.lease_id in self._leases:
            self._leases[previous.lease_id].keys.discard(key)
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._items[key] = pair
        self._append_event(revision, {"type": "PUT", "kv": pair.to_json()}, key)

    def _delete(self, key: bytes, revision: int) -> None:
        pair = self._items.pop(key)
        if pair.lease_id in self._leases:
            self._leases[pair.lease_id].keys.discard(key)
        kv = {"key": encode(key), "mod_revision": str(revision)}
        self._append_event(revision, {"type": "DELETE", "kv": kv}, key)

    def _append_event(
        self, revision: int, event: dict[str, Any], key: bytes
    ) -> None:
        self.revision = revision
        self.events.append((revision, event, key))
        if len(self.events) > MAX_EVENTS:
            self.compacted_revision = self.events.popleft()[0]

    def _remove_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id)
        revision = self.revision + 1
        for key in sorted(lease.keys):
            self._delete(key, revision)
