"""What the HTTP clients of the system share."""

from aiosonic.exceptions import AiosonicError

# Everything that means that no whole response arrived.
HTTP_FAILURES = (OSError, EOFError, ValueError, TimeoutError, AiosonicError)
