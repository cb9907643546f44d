"""Listening sockets that are opened before the rest of a daemon is loaded.

The kernel accepts connections from then on, so callers of a daemon that was
killed wait for its start instead of failing.
"""

import socket

# Connections that wait to be accepted.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens at a host and port.

    Raises:
        OSError: If the address cannot be used.
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
