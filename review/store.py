"""Stand-in of the platform's store: items, leases, watches and transactions.

It follows the section "The platform's metadata store" of PROTOCOL.md.
"""

import asyncio
import base64
import json
import urllib.parse

_PAGE_ITEMS = 500
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412


class Store:
    """The store, served over HTTP on a loopback address.

    Attributes:
        address: Host and port; empty before the start.
        items: Items by key.
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        self.address = ""
        self.items: dict[str, dict] = {}
        self.revision = 100
        self._events: list[dict] = []
        self._leases: dict[int, int] = {}
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stops listening and ends the timers of all leases."""
        if self._server is not None:
            self._server.close()
        for timer in self._timers.values():
            timer.cancel()

    def put(self, key: str, document: dict) -> int:
        """Writes a JSON document as the operator or a replica.

        Returns:
            The revision of the write, which acknowledges it.
        """
        return self._write(key, json.dumps(document).encode(), 0)

    def remove(self, key: str) -> None:
        """Deletes an item, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _write(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create-rev": self.revision
            if known is None
            else known["create-rev"],
            "lease": lease,
        }
        self._publish(self.items[key])
        return self.revision

    def _publish(self, event: dict) -> None:
        self._events.append(dict(event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        timer = self._timers.pop(lease, None)
        if timer is not None:
            timer.cancel()
        held = [k for k, item in self.items.items() if item["lease"] == lease]
        for key in held:
            self.remove(key)

    def _restart_lease(self, lease: int) -> None:
        if lease in self._timers:
            self._timers[lease].cancel()
        self._timers[lease] = asyncio.get_running_loop().call_later(
            self._leases[lease] / 1000, self._end_lease, lease
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                size = 0
                for line in lines[1:]:
                    name, _, text = line.partition(":")
                    if name.lower() == "content-length":
                        size = int(text)
                body = await reader.readexactly(size)
                status, document = await self._execute(
                    method, target, json.loads(body) if body else {}
                )
                content = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    f"content-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # The daemon has closed the connection.
        finally:
            writer.close()

    async def _execute(
        self, method: str, target: str, body: dict
    ) -> tuple[int, dict]:
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-watch":
            return await self._watch(fields)
        calls = {
            "/api/kv-key": lambda: self._read(fields["key"]),
            "/api/kv-range": lambda: (_OK, self._list_page(fields)),
            "/api/kv-txn": lambda: self._transact(body),
            "/api/kv-lease": lambda: self._grant_lease(body),
        }
        if path in calls:
            return calls[path]()
        return self._change_lease(method, int(path.rsplit("/", 1)[1]))

    def _read(self, key: str) -> tuple[int, dict]:
        item = self.items.get(key)
        if item is None:
            return _NOT_FOUND, {}
        return _OK, {**item, "current-rev": self.revision}

    def _grant_lease(self, body: dict) -> tuple[int, dict]:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = int(body["ttl-ms"])
        self._restart_lease(lease)
        return _OK, {"lease": lease, "ttl-ms": body["ttl-ms"]}

    def _change_lease(self, method: str, lease: int) -> tuple[int, dict]:
        """Renews a lease, or ends it with DELETE."""
        if lease not in self._leases:
            return _NOT_FOUND, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self._restart_lease(lease)
        return _OK, {}

    def _list_page(self, fields: dict) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(fields.get("path-prefix", ""))
            and key > fields.get("after", "")
        )
        page = keys[:_PAGE_ITEMS]
        return {
            "items": [self.items[key] for key in page],
            "more-pages": len(keys) > len(page),
            "current-rev": self.revision,
        }

    async def _watch(self, fields: dict) -> tuple[int, dict]:
        prefix, after = fields.get("path-prefix", ""), int(fields["after"])
        if after > self.revision:
            return _GONE, {}

        def find() -> list[dict]:
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(fields["wait-ms"]) / 1000):
                while not find():
                    await self._changed.wait()
        except TimeoutError:
            pass  # The response contains no events.
        return _OK, {"events": find(), "current-rev": self.revision}

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if row["revision"] != (0 if item is None else item["revision"]):
                return _CONFLICT, {"items": [] if item is None else [item]}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return _NOT_FOUND, {}
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self._write(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return _OK, {"revision": self.revision}
