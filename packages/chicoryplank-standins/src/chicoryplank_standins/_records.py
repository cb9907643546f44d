"""Execution records and injected faults of the simulated backend servers."""

import dataclasses
import hashlib
import json
import pathlib
import time
from typing import Any

MAX_RECORDS = 200_000


@dataclasses.dataclass(slots=True)
class Record:
    """Executions of requests with the same id, path and body."""

    request_id: str
    path: str
    body_sha256: str
    count: int = 0
    times_s: list[float] = dataclasses.field(default_factory=list)
    details: dict[str, Any] = dataclasses.field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON fields, with the details at the top level."""
        fields = {
            "request_id": self.request_id,
            "path": self.path,
            "body_sha256": self.body_sha256,
            "count": self.count,
            "times_s": self.times_s,
        }
        return fields | self.details


class ExecutionLog:
    """Counts the executions of each request.

    The oldest record is dropped when there are more than MAX_RECORDS.

    Args:
        path: File that preserves the records if the process is killed; none
            if empty. Each execution is written before the response is sent.
    """

    def __init__(self, path: str = "") -> None:
        self._records: dict[tuple[str, str, str], Record] = {}
        self._file = None
        if path:
            self._load(pathlib.Path(path))
            self._file = pathlib.Path(path).open(  # noqa: SIM115
                "a", buffering=1
            )

    def _load(self, path: pathlib.Path) -> None:
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            try:
                request_id, request_path, digest, time_s, details = json.loads(
                    line
                )
            except ValueError:
                # The process was killed while it was writing this line.
                continue
            self._add_execution(
                request_id, request_path, digest, time_s, details
            )

    def add(
        self, request_id: str, path: str, body: bytes, **details: Any
    ) -> Record:
        """Counts an execution and returns its record."""
        digest = hashlib.sha256(body).hexdigest()
        now_s = time.time()
        if self._file is not None:
            line = json.dumps((request_id, path, digest, now_s, details))
            self._file.write(f"{line}\n")
        return self._add_execution(request_id, path, digest, now_s, details)

    def _add_execution(
        self,
        request_id: str,
        path: str,
        digest: str,
        time_s: float,
        details: dict[str, Any],
    ) -> Record:
        key = (request_id, path, digest)
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = Record(request_id, path, digest)
        record.count += 1
        record.times_s.append(time_s)
        record.details |= details
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return record

    def to_json(self) -> list[dict[str, Any]]:
        """Returns all records, oldest first."""
        return [record.to_json() for record in self._records.values()]


# Faults that None clears.
_CLEARABLE = frozenset({"cut_after_tokens", "server_limit"})


@dataclasses.dataclass(slots=True)
class BackendFaults:
    """Faults injected into an engine or a service.

    Attributes:
        stall_ms: Duration of a single pause of the backend server.
        fail_next: Number of following requests that get status 500 and do not
            run.
        cut_after_tokens: Number of tokens after which the connection of the
            next response is aborted; a service aborts it after the call has
            run. None for no abort.
        slow_factor: Factor by which a step or call takes longer.
        prepare_delay_ms: Simulated time to load weights before a rank is
            prepared for a map.
        server_limit: Requests per second that the server names in its
            responses; None for no limit.
    """

    stall_ms: float = 0
    fail_next: int = 0
    cut_after_tokens: int | None = None
    slow_factor: float = 1
    prepare_delay_ms: float = 0
    server_limit: float | None = None

    def update(self, fields: dict[str, Any]) -> None:
        """Sets the given fields; the others keep their values.

        Raises:
            ValueError: If a name is unknown or a value is not a number; then
                no field changes.
        """
        names = {field.name for field in dataclasses.fields(self)}
        for name, value in fields.items():
            if name not in names:
                raise ValueError(f"unknown fault {name!r}")
            cleared = value is None and name in _CLEARABLE
            if not cleared and not isinstance(value, int | float):
                raise ValueError(f"{name} must be a number, not {value!r}")
        for name, value in fields.items():
            setattr(self, name, value)

    def get_headers(self) -> dict[str, str]:
        """Returns the headers of responses that depend on the faults."""
        if self.server_limit is None:
            return {}
        return {"Server-Limit": f"{self.server_limit:g}"}

    def consume_failure(self) -> bool:
        """Counts a request; tells whether it has to fail."""
        if self.fail_next <= 0:
            return False
        self.fail_next -= 1
        return True

    def consume_cut(self) -> int | None:
        """Clears the cut; returns its number of tokens, None if not set."""
        cut, self.cut_after_tokens = self.cut_after_tokens, None
        return cut

    def consume_stall_s(self) -> float:
        """Clears the pause; returns its duration in seconds."""
        stall_s, self.stall_ms = self.stall_ms / 1_000, 0
        return stall_s
