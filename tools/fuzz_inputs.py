"""Valid messages and their seeded random mutations."""

import json
import random

from demo import TOKEN

from chicoryplank_wire import control_pb2, relay_pb2

MODEL = "toolroom"
MAX_U64 = 2**64 - 1
NUMBERS = (0, 1, 2, 3, 1_000, 2**31, 2**32 - 1, 2**63, MAX_U64)
PIECES = (
    b"\r\n",
    b"\n",
    b"\0",
    b"\xff\xfe",
    b" ",
    b":",
    b"/",
    b"..",
    b"%2F",
    b"%2e%2e",
    b"%",
    b";",
    b"#",
    b"?",
    b"Content-Length: 5\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
    b"Idempotency-Key: other\r\n",
    b"X-Priority: bulk\r\n",
    b"X-Request-Timeout-Ms: 0\r\n",
    b"X-Request-Timeout-Ms: 99999999999\r\n",
    b"NaN",
    b"null",
    b'"',
    b"\\ud800",
    b"9" * 400,
    b"[" * 2_000,
    b"{" * 50,
    b"A: b\r\n" * 200,
    b"x" * 20_000,
)
JSON_VALUES = (
    None,
    True,
    -1,
    0,
    2**70,
    1.5,
    float("nan"),
    "",
    "\ud800",
    "x" * 5_000,
    [],
    [[[[]]]],
    {},
    {"role": 7},
)


def _make_call(
    token: str, method: str, path: str, body: bytes = b"", headers: str = ""
) -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {token}\r\n"
        f"Content-Length: {len(body)}\r\n{headers}\r\n"
    )
    return head.encode() + body


def _make_completion(document: object) -> bytes:
    body = json.dumps(document).encode()
    return _make_call(TOKEN, "POST", "/v1/chat/completions", body)


def _make_document(stream: bool) -> dict:
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": "gate and runner note"}],
        "stream": stream,
        "max_tokens": 8,
    }


def make_write(token: str, key: str) -> bytes:
    """Returns a non-idempotent call."""
    return _make_call(
        token,
        "POST",
        "/v1/services/tablets/quotes/send",
        b'{"price": 1}',
        f"Idempotency-Key: {key}\r\n",
    )


def make_reuses(token: str, key: str) -> list[bytes]:
    """Returns other calls with the key of a call of `make_write`."""
    header = f"Idempotency-Key: {key}\r\n"
    path = "/v1/services/tablets/quotes/send"
    return [
        _make_call(token, "POST", path, b'{"price": 2}', header),
        _make_call(token, "POST", f"{path}/again", b'{"price": 1}', header),
        _make_call(token, "PUT", path, b'{"price": 1}', header),
    ]


def make_requests(token: str) -> list[bytes]:
    """Returns right requests that are answered with 200."""
    whole, stream = _make_document(False), _make_document(True)
    service = "/v1/services/tablets/cards/7"
    return [
        _make_completion(whole),
        _make_completion(stream),
        _make_call(token, "GET", service),
        _make_call(token, "HEAD", service),
        _make_call(token, "POST", service, b"{}"),
        _make_call(token, "GET", "/v1/models"),
        _make_call(token, "GET", "/v1/addresses"),
        _make_call(token, "HEAD", "/healthz"),
    ]


def _mutate_document(source: random.Random) -> bytes:
    document = _make_document(source.random() < 0.5)
    for _ in range(source.randint(1, 3)):
        name = source.choice((*document, "prompt", "top_p"))
        document[name] = source.choice(JSON_VALUES)
    return _make_completion(document)


def _mutate_bytes(source: random.Random, data: bytes) -> bytes:
    changed = bytearray(data)
    for _ in range(source.randint(1, 4)):
        start = source.randrange(len(changed) + 1)
        end = min(len(changed), start + source.randint(0, 30))
        action = source.randrange(5)
        if action == 0:
            changed[start:end] = source.randbytes(end - start)
        elif action == 1:
            del changed[start:end]
        elif action == 2:
            changed[start:start] = changed[start:end] * source.randint(1, 5)
        else:
            changed[start:start] = source.choice(PIECES)
    return bytes(changed)


def draw_input(source: random.Random) -> bytes:
    """Returns a mutated request, or several in one piece."""
    if source.random() < 0.2:
        return _mutate_document(source)
    requests = make_requests(TOKEN)
    # Few keys, so that the same key comes with different bodies and paths.
    requests.append(make_write(TOKEN, f"fuzz-{source.randrange(20)}"))
    count = source.choice((1, 1, 1, 2, 5))
    data = b"".join(source.choice(requests) for _ in range(count))
    return _mutate_bytes(source, data)


def _draw_start(source: random.Random) -> relay_pb2.Start:
    return relay_pb2.Start(
        attempt=source.choice(NUMBERS),
        account=source.choice(("shop-floor", "", "\n" * 50)),
        group=source.choice(("toolroom-llm", "", "x" * 1_000)),
        priority=source.choice(NUMBERS) % 2**32,
        budget_ms=source.choice(NUMBERS) % 2**32,
        deadline_unix_ms=source.choice((*NUMBERS, 2**42)),
        method=source.choice(("GET", "POST", "", "GET /x HTTP/1.1\r\n")),
        path=source.choice(("/cards/7", "/a\r\nb: c", "", "@host/", "/;a#b")),
        headers=[
            relay_pb2.Header(
                name=source.choice(("X-Note", "X:\r\n", "Content-Length", "")),
                value=source.choice(("1", "a\r\nb: c", "\0", "9" * 30_000)),
            )
            for _ in range(source.randrange(3))
        ],
        body=source.randbytes(source.choice((0, 10, 5_000))),
        # Calls with a key are left to the HTTP interface, whose keys the
        # check for calls that ran twice knows.
        repeatable=True,
    )


def draw_batch(source: random.Random) -> relay_pb2.EntryBatch:
    """Returns a message to an agent, with contradictory frames.

    It does not say that the instance leaves: whoever may speak on the port
    may do that, and the site would rightly stop.
    """

    def draw_positions() -> list[relay_pb2.Position]:
        return [
            relay_pb2.Position(
                attempt=source.choice(NUMBERS), offset=source.choice(NUMBERS)
            )
            for _ in range(source.randrange(3))
        ]

    name = source.choice(("noise-1", "noise-2", "noise-1", "", "a\r\nb: c"))
    starts = [_draw_start(source) for _ in range(source.randrange(4))]
    return relay_pb2.EntryBatch(
        entry=name,
        incarnation=name,
        starts=starts * source.randint(1, 2),
        resumes=draw_positions(),
        settles=[source.choice(NUMBERS) for _ in range(source.randrange(3))],
        acknowledges=draw_positions(),
        cancels=[source.choice(NUMBERS) for _ in range(source.randrange(3))],
    )


def draw_heartbeat(source: random.Random) -> control_pb2.HeartbeatRequest:
    """Returns a message to an entry whose sender is malformed."""
    wrong = ("", "nowhere", "127.0.0.1:port", "x" * 1_000, "a\nb", "[::1]:0")
    changes = [
        control_pb2.Demand(
            account=source.choice(("shop-floor", "", "other")),
            value=source.choice((0.0, -1.0, 1e300, float("nan"), 5.0)),
        )
        for _ in range(source.randrange(4))
    ]
    update = control_pb2.DemandUpdate(
        number=source.choice(NUMBERS),
        acknowledged=source.choice(NUMBERS),
        is_full=source.random() < 0.5,
        changes=changes,
    )
    return control_pb2.HeartbeatRequest(
        sender=control_pb2.Member(
            instance=source.choice(("entry-1", "noise", "")),
            zone=source.choice(("toolroom", "")),
            address=source.choice(wrong),
            caller_address=source.choice(wrong),
        ),
        requests=update,
        tokens=update,
    )
