"""Tracks configuration versions, and refuses requests while isolated."""

from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, InstanceId
from chicoryplank.verdict import Verdict


class VersionTracker:
    """Tracks the active configuration version and newer ones at peers.

    Args:
        fetch_timeout: Time after which a fetch without a result is repeated,
            possibly from another peer.

    Attributes:
        version: Active configuration version; it never decreases.
        is_ready: Whether the version has ever been at least as high as every
            version reported by a peer. A process accepts no requests before.
    """

    def __init__(self, fetch_timeout: timedelta = timedelta(seconds=1)) -> None:
        self.version = ConfigVersion(0)
        self.is_ready = False
        self._fetch_timeout = fetch_timeout
        self._highest_reported = ConfigVersion(0)
        self._fetching_version = ConfigVersion(0)
        self._fetch_started_at = timedelta()

    def observe(
        self, peer: InstanceId, version: ConfigVersion, elapsed: timedelta
    ) -> InstanceId | None:
        """Records the version that a peer reported.

        Args:
            peer: The peer that reported the version.
            version: The active version of the peer.
            elapsed: Time since boot.

        Returns:
            The peer if the configuration must now be fetched from it; None if
            the version is not newer or is being fetched already.
        """
        self._highest_reported = max(self._highest_reported, version)
        if version <= self.version:
            return None
        is_fetching = elapsed - self._fetch_started_at < self._fetch_timeout
        if is_fetching and version <= self._fetching_version:
            return None
        self._fetching_version = version
        self._fetch_started_at = elapsed
        return peer

    def apply(self, version: ConfigVersion) -> bool:
        """Activates a version whose configuration was read completely.

        Returns:
            False if the version is not newer than the active one.
        """
        is_newer = version > self.version
        self.version = max(self.version, version)
        self._highest_reported = max(self._highest_reported, version)
        if self.version and self.version >= self._highest_reported:
            self.is_ready = True
        return is_newer


class IsolationGuard:
    """Refuses new requests while the process is isolated.

    A process counts as isolated if neither the store nor any peer has responded
    for max_isolation. Durations are measured in time since boot, which includes
    the time that an instance is suspended: after a long suspension the process
    accepts requests only once the store or a peer has responded again.

    Args:
        max_isolation: Longest time without a response before requests are
            refused.
    """

    def __init__(self, max_isolation: timedelta) -> None:
        self._max_isolation = max_isolation
        self._last_response_at: timedelta | None = None

    def observe(self, elapsed: timedelta) -> None:
        """Records that the store or a peer responded."""
        self._last_response_at = elapsed

    def admit(self, elapsed: timedelta) -> None:
        """Checks that the process is not isolated.

        Raises:
            ChicoryplankError: With NOT_READY and NOT_RUN if neither the store
                nor a peer has responded within max_isolation.
        """
        if (
            self._last_response_at is not None
            and elapsed - self._last_response_at <= self._max_isolation
        ):
            return
        raise ChicoryplankError(
            ErrorCode.NOT_READY,
            "neither the key-value service nor a peer responds",
            Verdict.NOT_RUN,
            retry_after=timedelta(seconds=1),
        )
