"""Client of the key-value store, using the JSON interface of etcd v3."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from datetime import timedelta

from aiosonic.timeout import Timeouts

from chicoryplank.store import Record, StoreError, SwapOutcome
from chicoryplank.verdict import Verdict
from chicoryplank_wire.http import HTTP_FAILURES, make_client, read_content

_HTTP_OK = 200
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_MAX_CONNECTIONS = 16
_FAILURES = (*HTTP_FAILURES, KeyError)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _make_record(item: dict) -> Record:
    return Record(
        base64.b64decode(item["key"]).decode(),
        base64.b64decode(item.get("value", "")),
        int(item["mod_revision"]),
    )


def _make_prefix_end(prefix: str) -> bytes:
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])


class EtcdStore:
    """Store client that uses the JSON interface of etcd v3.

    A write without a response raises a StoreError with the verdict
    MAY_HAVE_RUN; only reading the key again shows the outcome.

    Args:
        address: Host and port of the store.
        timeout: Maximum time to wait for a response.
    """

    def __init__(self, address: str, timeout: timedelta) -> None:
        self._url = f"http://{address}"
        self._timeout_s = timeout.total_seconds()
        self._client = make_client(_MAX_CONNECTIONS)

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def _call(self, path: str, body: dict, verdict: Verdict) -> dict:
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._client.request(
                    self._url + path,
                    "POST",
                    json=body,
                    stream=True,
                    timeouts=Timeouts(
                        sock_connect=self._timeout_s,
                        sock_read=self._timeout_s,
                        request_timeout=None,
                    ),
                )
                content = await read_content(response, _MAX_RESPONSE_BYTES)
        except _FAILURES as error:
            raise StoreError(
                f"no response to {path}: {error!r}", verdict
            ) from error
        if response.status_code != _HTTP_OK:
            raise StoreError(
                f"unexpected response to {path}: status {response.status_code}",
                verdict,
            )
        try:
            return json.loads(content)
        except ValueError as error:
            raise StoreError(
                f"malformed response to {path}", verdict
            ) from error

    async def read(self, key: str) -> Record | None:
        """Returns the record of a key, or None if there is none."""
        body = {"key": _encode(key.encode())}
        response = await self._call("/v3/kv/range", body, Verdict.NOT_RUN)
        items = response.get("kvs", [])
        return _make_record(items[0]) if items else None

    async def read_prefix(self, prefix: str) -> tuple[Record, ...]:
        """Returns the records whose keys start with a prefix, sorted by key."""
        body = {
            "key": _encode(prefix.encode()),
            "range_end": _encode(_make_prefix_end(prefix)),
        }
        response = await self._call("/v3/kv/range", body, Verdict.NOT_RUN)
        return tuple(_make_record(item) for item in response.get("kvs", []))

    async def _transact(
        self, key: str, expected_revision: int, operation: dict
    ) -> tuple[SwapOutcome, int]:
        body = {
            "compare": [
                {
                    "target": "MOD",
                    "result": "EQUAL",
                    "key": _encode(key.encode()),
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [operation],
        }
        response = await self._call("/v3/kv/txn", body, Verdict.MAY_HAVE_RUN)
        revision = int(response["header"]["revision"])
        swapped = response.get("succeeded", False)
        outcome = SwapOutcome.SWAPPED if swapped else SwapOutcome.CONFLICT
        return outcome, revision

    async def swap(
        self, key: str, value: bytes, expected_revision: int, lease: int = 0
    ) -> tuple[SwapOutcome, int]:
        """Writes a value if the key is still at the expected revision."""
        put = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease:
            put["lease"] = str(lease)
        return await self._transact(
            key, expected_revision, {"request_put": put}
        )

    async def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Deletes a key if it is still at the expected revision."""
        operation = {
            "request_delete_range": {"key": _encode(key.encode())},
        }
        outcome, _ = await self._transact(key, expected_revision, operation)
        return outcome

    async def grant_lease(self, duration: timedelta) -> int:
        """Creates a lease and returns its id."""
        seconds = max(1, round(duration.total_seconds()))
        response = await self._call(
            "/v3/lease/grant", {"TTL": str(seconds)}, Verdict.MAY_HAVE_RUN
        )
        return int(response["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False if it has expired."""
        response = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease)}, Verdict.MAY_HAVE_RUN
        )
        return int(response.get("result", response).get("TTL", "0")) > 0

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys attached to it."""
        await self._call(
            "/v3/lease/revoke", {"ID": str(lease)}, Verdict.MAY_HAVE_RUN
        )

    async def watch(self, key: str) -> AsyncIterator[Record]:
        """Yields the record of a key each time it changes."""
        body = {"create_request": {"key": _encode(key.encode())}}
        try:
            response = await self._client.request(
                self._url + "/v3/watch",
                "POST",
                json=body,
                stream=True,
                timeouts=Timeouts(
                    sock_connect=self._timeout_s,
                    sock_read=None,
                    request_timeout=None,
                ),
            )
            try:
                async for line in response.iter_lines():
                    for record in _parse_watch_line(line):
                        yield record
            finally:
                await response.aclose()
        except _FAILURES as error:
            raise StoreError(
                f"watch connection failed: {error!r}", Verdict.NOT_RUN
            ) from error
        raise StoreError("watch ended by the store", Verdict.NOT_RUN)


def _parse_watch_line(line: str) -> list[Record]:
    if not line.strip():
        return []
    events = json.loads(line).get("result", {}).get("events", [])
    return [
        _make_record(event["kv"])
        for event in events
        if event.get("type", "PUT") == "PUT"
    ]
