"""Authentication and message limits of the internal gRPC ports."""

import hmac
import re
from collections.abc import Collection

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

_SECRET_KEY = "chicoryplank-secret"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


def is_valid_name(text: str) -> bool:
    """Tells whether a text is a valid instance or incarnation name."""
    return _NAME.fullmatch(text) is not None


def make_server(
    services: Collection, max_message_bytes: int, secret: str = ""
) -> Server:
    """Returns a gRPC server that limits messages and authenticates peers.

    Args:
        services: gRPC services to serve.
        max_message_bytes: Maximum size of a received message.
        secret: Shared secret that peers must send with each call; empty to
            accept all peers.
    """
    server = Server(services)

    async def check(event: RecvRequest) -> None:
        if secret:
            _check_secret(event, secret)
        serve = event.method_func

        async def serve_bounded(stream: Stream) -> None:
            _limit_message_size(stream, max_message_bytes)
            await serve(stream)

        event.method_func = serve_bounded

    listen(server, RecvRequest, check)
    return server


def attach_secret(channel: Channel, secret: str) -> None:
    """Adds the shared secret to each call of a channel, unless it is empty."""
    if not secret:
        return

    async def add(event: SendRequest) -> None:
        event.metadata[_SECRET_KEY] = secret

    listen(channel, SendRequest, add)


def _check_secret(event: RecvRequest, secret: str) -> None:
    presented = event.metadata.getone(_SECRET_KEY, "")
    # Constant-time comparison, so that timing does not reveal the secret.
    if not hmac.compare_digest(presented.encode(), secret.encode()):
        raise GRPCError(
            Status.UNAUTHENTICATED, "shared secret is missing or wrong"
        )


def _limit_message_size(stream: Stream, max_bytes: int) -> None:
    """Rejects a message by its length prefix, before its data is buffered.

    grpclib has no size limit and acknowledges data as it buffers it, so HTTP/2
    flow control does not limit the size either.
    """
    http_stream = stream._stream
    receive = http_stream.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > max_bytes:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"message is larger than {max_bytes} bytes",
            )
        return await receive(size)

    http_stream.recv_data = receive_bounded
