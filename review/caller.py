"""Stand-in of a client: one request on one connection, read to its end."""

import asyncio
import dataclasses
import time

HOST = "shop.example"
# Bytes of a body from which on further ones are counted, but not kept.
_MAX_KEPT_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client has received.

    Attributes:
        request_id: Id of the request.
        sent_s: Unix time at which the request was sent.
        ended_s: Unix time at which the answer ended.
        status: Status; 0 if no head has arrived.
        headers: Headers by name in lower case.
        body: Body as far as it has arrived and is kept.
        size: Number of bytes of the body that have arrived.
        is_complete: Whether the framing says that the body is complete.
        problem: Why it is not complete; empty if it is.
    """

    request_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    size: int = 0
    is_complete: bool = False
    problem: str = ""


async def send(
    address: str,
    target: str,
    request_id: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 8000,
    key: str = "key-1",
) -> Answer:
    """Sends a request on a new connection and reads the answer.

    Args:
        address: Host and port of an entry.
        target: Path and query.
        request_id: Id of the request.
        body: Body; POST is used if there is one, else GET.
        deadline_ms: Time that the client waits, in milliseconds.
        key: API key.
    """
    answer = Answer(request_id, time.time())
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\n"
                f"Host: {HOST}\r\n"
                f"Chicoryplank-Request-Id: {request_id}\r\n"
                f"Chicoryplank-Deadline-Ms: {deadline_ms}\r\n"
                f"Authorization: Bearer {key}\r\n"
            )
            if body:
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(f"{head}\r\n".encode() + body)
            await _read(reader, answer)
    except TimeoutError:
        answer.problem = "deadline"
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        answer.problem = repr(error)
    finally:
        if writer is not None:
            writer.close()
    answer.ended_s = time.time()
    return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, separator, text = line.partition(":")
        if separator:
            answer.headers[name.lower()] = text.strip()
    length = answer.headers.get("content-length")
    if length is not None:
        answer.body = await reader.readexactly(int(length))
        answer.size = len(answer.body)
        answer.is_complete = True
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            answer.is_complete = True
            return
        answer.size += size
        if len(answer.body) < _MAX_KEPT_BYTES:
            answer.body += data[:-2]


async def ask(address: str, target: str) -> int:
    """Returns the status of a call without a body; 0 if there is no answer."""
    answer = await send(address, target, "check", deadline_ms=1000)
    return answer.status
