"""What ran at a stand-in, and the faults that engines and services share."""

import dataclasses
import hashlib
import json
import pathlib
import time
from typing import Any

MAX_RECORDS = 200_000


@dataclasses.dataclass(slots=True)
class Record:
    """A request that ran, by request id and digest of its body."""

    request_id: str
    path: str
    body_sha256: str
    count: int = 0
    times_s: list[float] = dataclasses.field(default_factory=list)
    details: dict[str, Any] = dataclasses.field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the record with its details at the top level."""
        fields = {
            "request_id": self.request_id,
            "path": self.path,
            "body_sha256": self.body_sha256,
            "count": self.count,
            "times_s": self.times_s,
        }
        return fields | self.details


class RecordBook:
    """Counts each run; the oldest records go when the book is full.

    Args:
        path: File that keeps the records when the stand-in is killed; none if
            empty. Each run is written before it is answered.
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
                request_id, place, digest, time_s, details = json.loads(line)
            except ValueError:
                # The process was killed while it wrote the last line.
                continue
            self._count(request_id, place, digest, time_s, details)

    def add(
        self, request_id: str, path: str, body: bytes, **details: Any
    ) -> Record:
        """Counts a run and returns its record."""
        digest = hashlib.sha256(body).hexdigest()
        now_s = time.time()
        if self._file is not None:
            line = json.dumps((request_id, path, digest, now_s, details))
            self._file.write(f"{line}\n")
        return self._count(request_id, path, digest, now_s, details)

    def _count(
        self,
        request_id: str,
        path: str,
        digest: str,
        now_s: float,
        details: dict[str, Any],
    ) -> Record:
        key = (request_id, path, digest)
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = Record(request_id, path, digest)
        record.count += 1
        record.times_s.append(now_s)
        record.details |= details
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return record

    def to_json(self) -> list[dict[str, Any]]:
        """Returns all records, oldest first."""
        return [record.to_json() for record in self._records.values()]


@dataclasses.dataclass(slots=True)
class BackendFaults:
    """Faults of an engine or a service.

    Attributes:
        stall_ms: Everything stops once for this time.
        fail_next: Number of coming requests that are answered with 500 and do
            not run.
        cut_after_tokens: The connection of the next answer is closed after
            this many tokens; a service closes it after the call ran. None for
            no cut.
        slow_factor: Multiplies the time of a step or call.
        prepare_delay_ms: Time in which weights load before a rank is prepared
            for a map.
    """

    stall_ms: float = 0
    fail_next: int = 0
    cut_after_tokens: int | None = None
    slow_factor: float = 1
    prepare_delay_ms: float = 0

    def change(self, fields: dict[str, Any]) -> None:
        """Sets the fields that a request names.

        Raises:
            ValueError: If a name is unknown or a value is not a number.
        """
        names = {field.name for field in dataclasses.fields(self)}
        for name, value in fields.items():
            if name not in names:
                raise ValueError(f"unknown fault {name!r}")
            cleared = name == "cut_after_tokens" and value is None
            if not cleared and not isinstance(value, int | float):
                raise ValueError(f"{name} must be a number, not {value!r}")
        for name, value in fields.items():
            setattr(self, name, value)

    def take_failure(self) -> bool:
        """Tells whether the coming request fails."""
        if self.fail_next <= 0:
            return False
        self.fail_next -= 1
        return True

    def take_cut(self) -> int | None:
        """Returns after how many tokens the coming answer breaks."""
        cut, self.cut_after_tokens = self.cut_after_tokens, None
        return cut

    def take_stall_s(self) -> float:
        """Returns for how long everything stops now."""
        stall_s, self.stall_ms = self.stall_ms / 1_000, 0
        return stall_s
