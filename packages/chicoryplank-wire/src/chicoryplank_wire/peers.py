"""What the servers and clients of the internal ports share."""

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


def is_name(text: str) -> bool:
    """Tells whether a text may be the name of an instance or incarnation."""
    return _NAME.fullmatch(text) is not None


def make_server(
    services: Collection, max_message_bytes: int, secret: str = ""
) -> Server:
    """Returns a gRPC server that bounds messages and knows its peers.

    Args:
        services: Services to serve.
        max_message_bytes: Size of the largest message.
        secret: What peers must send with each call; empty for no check.
    """
    server = Server(services)

    async def check(event: RecvRequest) -> None:
        if secret:
            _check_secret(event, secret)
        serve = event.method_func

        async def serve_bounded(stream: Stream) -> None:
            _bound_messages(stream, max_message_bytes)
            await serve(stream)

        event.method_func = serve_bounded

    listen(server, RecvRequest, check)
    return server


def present_secret(channel: Channel, secret: str) -> None:
    """Sends the secret with each call of a channel; an empty one is not."""
    if not secret:
        return

    async def add(event: SendRequest) -> None:
        event.metadata[_SECRET_KEY] = secret

    listen(channel, SendRequest, add)


def _check_secret(event: RecvRequest, secret: str) -> None:
    presented = event.metadata.getone(_SECRET_KEY, "")
    # The comparison takes the same time whatever differs.
    if not hmac.compare_digest(presented.encode(), secret.encode()):
        raise GRPCError(Status.UNAUTHENTICATED, "the shared secret is wrong")


def _bound_messages(stream: Stream, max_bytes: int) -> None:
    """Rejects a message by its announced length, before it is collected.

    grpclib has no such bound and acknowledges what it collects, so that flow
    control does not bound it either.
    """
    source = stream._stream
    receive = source.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > max_bytes:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"a message is larger than {max_bytes} bytes",
            )
        return await receive(size)

    source.recv_data = receive_bounded
