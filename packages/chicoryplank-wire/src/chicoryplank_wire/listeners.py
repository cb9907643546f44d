"""Listening sockets, opened before the other modules of a daemon are loaded.

From then on the kernel accepts connections, so callers of a daemon that is
restarting after a crash wait for it instead of getting connection errors.
"""

import socket

# Maximum number of connections that wait to be accepted.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Returns a non-blocking socket that listens at a host and port.

    Raises:
        OSError: If the socket cannot be bound to the address.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


__all__ = ["BACKLOG", "open_listener"]
