"""State of the key-value stand-in, without I/O."""

import base64
import dataclasses
from collections import deque
from collections.abc import Callable
from typing import Any

MAX_EVENTS = 10_000
MAX_VALUE_BYTES = 1_048_576


class KeyValueError(Exception):
    """A request that the store answers with an error.

    Args:
        status: HTTP status.
        code: Code of the gRPC status.
        message: What is wrong.
    """

    def __init__(self, status: int, code: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self) -> dict[str, str]:
        """Returns the item as the JSON interface shows it."""
        fields = {
            "key": encode(self.key),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "value": encode(self.value),
            "lease": str(self.lease),
        }
        return {name: text for name, text in fields.items() if text != "0"}


@dataclasses.dataclass(slots=True)
class Lease:
    """Time to live and end of a lease, in seconds."""

    ttl_s: int
    end_s: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


def encode(data: bytes) -> str:
    """Returns bytes in base64."""
    return base64.b64encode(data).decode()


def decode(text: str | None) -> bytes:
    """Returns the bytes of a base64 text; none for a missing field."""
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError as error:
        raise KeyValueError(400, 3, f"invalid base64: {error}") from error


def matches(key: bytes, start: bytes, end: bytes) -> bool:
    """Tells whether a key is in the range that the two fields name."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class KeyValueState:
    """Keys, leases and the history of changes.

    Args:
        elapsed: Returns the time in seconds that leases are measured with.
    """

    def __init__(self, elapsed: Callable[[], float]) -> None:
        self.revision = 1
        self.compacted = 0
        self.events: deque[tuple[int, dict[str, Any], bytes]] = deque()
        self._elapsed = elapsed
        self._items: dict[bytes, Item] = {}
        self._leases: dict[int, Lease] = {}
        self._last_lease = 7_000

    def expire_leases(self) -> bool:
        """Ends the leases that have lapsed; tells whether there were any."""
        now = self._elapsed()
        lapsed = [
            lease for lease, held in self._leases.items() if held.end_s <= now
        ]
        for lease in lapsed:
            self._end_lease(lease)
        return bool(lapsed)

    def header(self) -> dict[str, str]:
        """Returns the header of an answer."""
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.revision),
            "raft_term": "1",
        }

    def read_range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Answers a range request."""
        start = decode(request.get("key"))
        end = decode(request.get("range_end"))
        keys = self._find(start, end)
        answer: dict[str, Any] = {"header": self.header()}
        if keys:
            answer["kvs"] = [self._items[key].to_json() for key in keys]
            answer["count"] = str(len(keys))
        return answer

    def delete_range(self, request: dict[str, Any]) -> dict[str, Any]:
        """Deletes the keys of a range in one revision."""
        return self.commit({"success": [{"request_delete_range": request}]})[
            "responses"
        ][0]["response_delete_range"]

    def commit(self, request: dict[str, Any]) -> dict[str, Any]:
        """Answers a transaction; all its writes share one revision."""
        succeeded = all(
            self._compare(compare) for compare in request.get("compare", ())
        )
        operations = request.get("success" if succeeded else "failure", ())
        self._check(operations)
        revision = self.revision + 1
        responses = [self._apply(item, revision) for item in operations]
        answer: dict[str, Any] = {"header": self.header()}
        if succeeded:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        return answer

    def grant_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Answers a request for a lease."""
        ttl_s = int(request.get("TTL", 0))
        if ttl_s <= 0:
            raise KeyValueError(400, 3, "TTL must be positive")
        self._last_lease += 1
        lease = int(request.get("ID", 0)) or self._last_lease
        self._leases[lease] = Lease(ttl_s, self._elapsed() + ttl_s)
        return {"header": self.header(), "ID": str(lease), "TTL": str(ttl_s)}

    def keep_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Renews a lease; the answer has no TTL if the lease has lapsed."""
        lease = int(request.get("ID", 0))
        held = self._leases.get(lease)
        result = {"header": self.header(), "ID": str(lease)}
        if held is not None:
            held.end_s = self._elapsed() + held.ttl_s
            result["TTL"] = str(held.ttl_s)
        return {"result": result}

    def revoke_lease(self, request: dict[str, Any]) -> dict[str, Any]:
        """Ends a lease and deletes its keys."""
        lease = int(request.get("ID", 0))
        if lease not in self._leases:
            raise KeyValueError(404, 5, "etcdserver: requested lease not found")
        self._end_lease(lease)
        return {"header": self.header()}

    def read_events(
        self, start: bytes, end: bytes, after: int
    ) -> list[dict[str, Any]]:
        """Returns the changes of a range after a revision, oldest first."""
        newer = []
        for revision, event, key in reversed(self.events):
            if revision <= after:
                break
            if matches(key, start, end):
                newer.append(event)
        return newer[::-1]

    def _find(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._items else []
        return sorted(key for key in self._items if matches(key, start, end))

    def _compare(self, compare: dict[str, Any]) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise KeyValueError(400, 3, "only the result EQUAL is supported")
        target = compare.get("target", "")
        if target not in ("MOD", "CREATE"):
            raise KeyValueError(400, 3, f"target {target!r} is not supported")
        field = "mod_revision" if target == "MOD" else "create_revision"
        item = self._items.get(decode(compare.get("key")))
        actual = 0 if item is None else getattr(item, field)
        return actual == int(compare.get(field, 0))

    def _check(self, operations: list[dict[str, Any]]) -> None:
        kinds = {"request_put", "request_delete_range", "request_range"}
        for operation in operations:
            if len(operation.keys() & kinds) != 1:
                raise KeyValueError(400, 3, "an operation needs one request")
            for request in operation.values():
                decode(request.get("key"))
                decode(request.get("range_end"))
            if put := operation.get("request_put"):
                lease = int(put.get("lease", 0))
                if lease and lease not in self._leases:
                    raise KeyValueError(
                        404, 5, "etcdserver: requested lease not found"
                    )
                if len(decode(put.get("value"))) > MAX_VALUE_BYTES:
                    raise KeyValueError(
                        400, 3, "etcdserver: request is too large"
                    )

    def _apply(
        self, operation: dict[str, Any], revision: int
    ) -> dict[str, Any]:
        if "request_put" in operation:
            self._put(operation["request_put"], revision)
            return {"response_put": {"header": self.header()}}
        if "request_delete_range" in operation:
            request = operation["request_delete_range"]
            start = decode(request.get("key"))
            keys = self._find(start, decode(request.get("range_end")))
            for key in keys:
                self._delete(key, revision)
            answer: dict[str, Any] = {"header": self.header()}
            if keys:
                answer["deleted"] = str(len(keys))
            return {"response_delete_range": answer}
        answer = self.read_range(operation["request_range"])
        return {"response_range": answer}

    def _put(self, put: dict[str, Any], revision: int) -> None:
        key = decode(put.get("key"))
        lease = int(put.get("lease", 0))
        old = self._items.get(key)
        item = Item(
            key,
            decode(put.get("value")),
            revision if old is None else old.create_revision,
            revision,
            1 if old is None else old.version + 1,
            lease,
        )
        if old is not None and old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        self._items[key] = item
        self._record(revision, {"type": "PUT", "kv": item.to_json()}, key)

    def _delete(self, key: bytes, revision: int) -> None:
        item = self._items.pop(key)
        if item.lease in self._leases:
            self._leases[item.lease].keys.discard(key)
        kv = {"key": encode(key), "mod_revision": str(revision)}
        self._record(revision, {"type": "DELETE", "kv": kv}, key)

    def _record(self, revision: int, event: dict[str, Any], key: bytes) -> None:
        self.revision = revision
        self.events.append((revision, event, key))
        if len(self.events) > MAX_EVENTS:
            self.compacted = self.events.popleft()[0]

    def _end_lease(self, lease: int) -> None:
        held = self._leases.pop(lease)
        revision = self.revision + 1
        for key in sorted(held.keys):
            self._delete(key, revision)
