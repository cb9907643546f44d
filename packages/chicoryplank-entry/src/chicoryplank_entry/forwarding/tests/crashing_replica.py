"""Replicas that crash while they process certain requests, and come back."""

import asyncio

from chicoryplank_entry.forwarding.tests.harness import (
    Replica,
    make_event,
    make_head,
)


class CrashingReplica(Replica):
    """Replica that ends when it processes a harmful request.

    All its connections and its port close, and it listens again at the same
    address after a while.

    Args:
        is_harmful: Returns whether a request crashes the replica.
        down_s: Time after which the replica is back, in seconds.
        work_s: Time from a request to the response, or to the crash.
        begins: Whether the response has begun before the crash.

    Attributes:
        arrivals: Time and request of each arrival.
        crashes: Times of the crashes.
    """

    def __init__(self, is_harmful, down_s=0.3, work_s=0.02, begins=True):
        super().__init__()
        self._is_harmful = is_harmful
        self._down_s = down_s
        self._work_s = work_s
        self._begins = begins
        self._writers = set()
        self._port = 0
        self._restart = None
        self.arrivals = []
        self.crashes = []
        self.scripts = [self._respond]

    async def start(self):
        address = await super().start()
        self._port = int(address.rpartition(":")[2])
        return address

    async def stop(self):
        if self._restart is not None:
            self._restart.cancel()
        await super().stop()

    async def crash(self):
        """Ends the process: its port and all its connections close."""
        loop = asyncio.get_running_loop()
        self.crashes.append(loop.time())
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        self._restart = loop.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(self._down_s)
        while True:
            try:
                self._server = await asyncio.start_server(
                    self._serve, "127.0.0.1", self._port
                )
                return
            except OSError:
                # A connection of another process has the port for a moment.
                await asyncio.sleep(0.02)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _respond(self, recorded, writer):
        loop = asyncio.get_running_loop()
        self.arrivals.append((loop.time(), recorded))
        is_harmful = self._is_harmful(recorded)
        if not is_harmful or self._begins:
            head = make_head(
                recorded,
                extra=(
                    "Content-Type: text/event-stream",
                    "Transfer-Encoding: chunked",
                    "",
                    "",
                ),
            )
            writer.write("\r\n".join(head).encode())
        await asyncio.sleep(self._work_s)
        if is_harmful:
            await self.crash()
            return False
        for number in (1, 2, 3):
            event = make_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
