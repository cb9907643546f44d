"""Which version is in force, and whom to fetch a newer one from."""

from datetime import timedelta

from chicoryplank.errors import ChicoryplankError, ErrorCode
from chicoryplank.ids import ConfigVersion, InstanceId
from chicoryplank.verdict import Verdict


class VersionGossip:
    """Version of this process and news of newer ones.

    Args:
        fetch_timeout: Time after which a fetch without result is repeated,
            possibly from another peer.

    Attributes:
        version: Version in force; it never falls.
        is_ready: Whether the version was once as new as that of every peer
            heard; a process serves nothing before.
    """

    def __init__(self, fetch_timeout: timedelta = timedelta(seconds=1)) -> None:
        self.version = ConfigVersion(0)
        self.is_ready = False
        self._fetch_timeout = fetch_timeout
        self._highest = ConfigVersion(0)
        self._fetching = ConfigVersion(0)
        self._fetch_began = timedelta()

    def observe(
        self, peer: InstanceId, version: ConfigVersion, elapsed: timedelta
    ) -> InstanceId | None:
        """Takes the version that a peer stated.

        Args:
            peer: Who stated it.
            version: Its version.
            elapsed: Time since boot.

        Returns:
            The peer, if the newer version is to be fetched from it now; None
            if it is not newer or is being fetched already.
        """
        self._highest = max(self._highest, version)
        if version <= self.version:
            return None
        is_fetching = elapsed - self._fetch_began < self._fetch_timeout
        if is_fetching and version <= self._fetching:
            return None
        self._fetching = version
        self._fetch_began = elapsed
        return peer

    def apply(self, version: ConfigVersion) -> bool:
        """Takes a version that was read completely.

        Returns:
            Whether it comes into force; False if it is not newer.
        """
        is_newer = version > self.version
        self.version = max(self.version, version)
        self._highest = max(self._highest, version)
        if self.version and self.version >= self._highest:
            self.is_ready = True
        return is_newer


class IsolationRule:
    """Rejects new requests of a process that has heard nobody for long.

    Time since boot is used, because it includes a suspension, after which the
    process must first hear from somebody again.

    Args:
        max_isolation: Longest time without the store and every peer.
    """

    def __init__(self, max_isolation: timedelta) -> None:
        self._max_isolation = max_isolation
        self._heard: timedelta | None = None

    def observe(self, elapsed: timedelta) -> None:
        """Records that the store or a peer responded."""
        self._heard = elapsed

    def admit(self, elapsed: timedelta) -> None:
        """Raises an error if the process is isolated.

        Raises:
            ChicoryplankError: With NOT_READY; the request was not run.
        """
        if (
            self._heard is not None
            and elapsed - self._heard <= self._max_isolation
        ):
            return
        raise ChicoryplankError(
            ErrorCode.NOT_READY,
            "neither the key-value service nor a peer responds",
            Verdict.NOT_RUN,
            retry_after=timedelta(seconds=1),
        )
