"""Valid messages and seeded random mutations of them."""

import json
import random

from demo import TOKEN

from chicoryplank_wire import control_pb2, relay_pb2

MODEL = "toolroom"
MAX_UINT64 = 2**64 - 1
NUMBERS = (0, 1, 2, 3, 1_000, 2**31, 2**32 - 1, 2**63, MAX_UINT64)
FRAGMENTS = (
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


def _make_request(
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
    return _make_request(TOKEN, "POST", "/v1/chat/completions", body)


def _make_document(is_streaming: bool) -> dict:
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": "gate and runner note"}],
        "stream": is_streaming,
        "max_tokens": 8,
    }


def make_write(token: str, key: str) -> bytes:
    """Returns a non-idempotent request with an idempotency key."""
    return _make_request(
        token,
        "POST",
        "/v1/services/tablets/quotes/send",
        b'{"price": 1}',
        f"Idempotency-Key: {key}\r\n",
    )


def make_key_reuses(token: str, key: str) -> list[bytes]:
    """Returns requests that differ from `make_write` but reuse its key."""
    header = f"Idempotency-Key: {key}\r\n"
    path = "/v1/services/tablets/quotes/send"
    return [
        _make_request(token, "POST", path, b'{"price": 2}', header),
        _make_request(token, "POST", f"{path}/again", b'{"price": 1}', header),
        _make_request(token, "PUT", path, b'{"price": 1}', header),
    ]


def make_valid_requests(token: str) -> list[bytes]:
    """Returns valid requests, for which the site must return status 200."""
    completion, streamed_completion = (
        _make_document(False),
        _make_document(True),
    )
    service = "/v1/services/tablets/cards/7"
    return [
        _make_completion(completion),
        _make_completion(streamed_completion),
        _make_request(token, "GET", service),
        _make_request(token, "HEAD", service),
        _make_request(token, "POST", service, b"{}"),
        _make_request(token, "GET", "/v1/models"),
        _make_request(token, "GET", "/v1/addresses"),
        _make_request(token, "HEAD", "/healthz"),
    ]


def _mutate_document(rng: random.Random) -> bytes:
    document = _make_document(rng.random() < 0.5)
    for _ in range(rng.randint(1, 3)):
        name = rng.choice((*document, "prompt", "top_p"))
        document[name] = rng.choice(JSON_VALUES)
    return _make_completion(document)


def _mutate_bytes(rng: random.Random, data: bytes) -> bytes:
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(mutated) + 1)
        end = min(len(mutated), start + rng.randint(0, 30))
        action = rng.randrange(5)
        if action == 0:
            mutated[start:end] = rng.randbytes(end - start)
        elif action == 1:
            del mutated[start:end]
        elif action == 2:
            mutated[start:start] = mutated[start:end] * rng.randint(1, 5)
        else:
            mutated[start:start] = rng.choice(FRAGMENTS)
    return bytes(mutated)


def draw_input(rng: random.Random) -> bytes:
    """Returns a mutated request, or several pipelined ones."""
    if rng.random() < 0.2:
        return _mutate_document(rng)
    requests = make_valid_requests(TOKEN)
    # Few distinct keys, so that a key is reused with other bodies and paths.
    requests.append(make_write(TOKEN, f"fuzz-{rng.randrange(20)}"))
    count = rng.choice((1, 1, 1, 2, 5))
    data = b"".join(rng.choice(requests) for _ in range(count))
    return _mutate_bytes(rng, data)


def _draw_start(rng: random.Random) -> relay_pb2.Start:
    return relay_pb2.Start(
        attempt=rng.choice(NUMBERS),
        account=rng.choice(("shop-floor", "", "\n" * 50)),
        group=rng.choice(("toolroom-llm", "", "x" * 1_000)),
        priority=rng.choice(NUMBERS) % 2**32,
        budget_ms=rng.choice(NUMBERS) % 2**32,
        deadline_unix_ms=rng.choice((*NUMBERS, 2**42)),
        method=rng.choice(("GET", "POST", "", "GET /x HTTP/1.1\r\n")),
        path=rng.choice(("/cards/7", "/a\r\nb: c", "", "@host/", "/;a#b")),
        headers=[
            relay_pb2.Header(
                name=rng.choice(("X-Note", "X:\r\n", "Content-Length", "")),
                value=rng.choice(("1", "a\r\nb: c", "\0", "9" * 30_000)),
            )
            for _ in range(rng.randrange(3))
        ],
        body=rng.randbytes(rng.choice((0, 10, 5_000))),
        # Non-repeatable requests are sent only through the HTTP interface,
        # because the check for repeated executions knows only its keys.
        repeatable=True,
    )


def draw_batch(rng: random.Random) -> relay_pb2.EntryBatch:
    """Returns a message to an agent with contradictory fields.

    The message never says that the instance is leaving: any peer that can
    connect to the port may say so, and the agent would correctly stop serving.
    """

    def draw_positions() -> list[relay_pb2.Position]:
        return [
            relay_pb2.Position(
                attempt=rng.choice(NUMBERS), offset=rng.choice(NUMBERS)
            )
            for _ in range(rng.randrange(3))
        ]

    name = rng.choice(("noise-1", "noise-2", "noise-1", "", "a\r\nb: c"))
    starts = [_draw_start(rng) for _ in range(rng.randrange(4))]
    return relay_pb2.EntryBatch(
        entry=name,
        incarnation=name,
        starts=starts * rng.randint(1, 2),
        resumes=draw_positions(),
        settles=[rng.choice(NUMBERS) for _ in range(rng.randrange(3))],
        acknowledges=draw_positions(),
        cancels=[rng.choice(NUMBERS) for _ in range(rng.randrange(3))],
    )


def draw_heartbeat(rng: random.Random) -> control_pb2.HeartbeatRequest:
    """Returns a heartbeat to an entry with malformed sender fields."""
    invalid_addresses = (
        "",
        "nowhere",
        "127.0.0.1:port",
        "x" * 1_000,
        "a\nb",
        "[::1]:0",
    )
    changes = [
        control_pb2.Demand(
            account=rng.choice(("shop-floor", "", "other")),
            value=rng.choice((0.0, -1.0, 1e300, float("nan"), 5.0)),
        )
        for _ in range(rng.randrange(4))
    ]
    update = control_pb2.DemandUpdate(
        number=rng.choice(NUMBERS),
        acknowledged=rng.choice(NUMBERS),
        is_full=rng.random() < 0.5,
        changes=changes,
    )
    return control_pb2.HeartbeatRequest(
        sender=control_pb2.Member(
            instance=rng.choice(("entry-1", "noise", "")),
            zone=rng.choice(("toolroom", "")),
            address=rng.choice(invalid_addresses),
            caller_address=rng.choice(invalid_addresses),
        ),
        requests=update,
        tokens=update,
    )
