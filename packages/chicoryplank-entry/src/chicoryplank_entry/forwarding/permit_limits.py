"""Interface of a limit that the issuer of permits applies to a replica."""

from typing import Protocol

from chicoryplank.ids import InstanceId


class PermitLimit(Protocol):
    """A limit on the requests of all entries to single replicas.

    An issuer grants a permit only if no limit requires a wait, and then records
    the permit at every limit.
    """

    def is_limited(self, instance: InstanceId, now_s: float) -> bool:
        """Returns whether requests to a replica need a permit now."""

    def get_wait_s(self, instance: InstanceId, now_s: float) -> float:
        """Returns the time in seconds until a permit may be granted.

        Returns:
            0 if one may be granted now, and for replicas without this limit.
        """

    def record_permit(self, instance: InstanceId, now_s: float) -> None:
        """Records that a permit was granted."""
