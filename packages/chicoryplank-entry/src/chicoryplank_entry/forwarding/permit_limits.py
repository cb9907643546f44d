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


class CarriedLimit(Protocol):
    """A limit whose state the questions for permits carry to the issuer.

    An issuer that has just started, or that follows the store with a lag, may
    not know yet that a replica has the limit.
    """

    def encode_report(
        self, instance: InstanceId, now_s: float
    ) -> object | None:
        """Returns what an issuer must know of a replica, for JSON.

        Returns:
            None if the replica does not have this limit.
        """

    def apply_report(
        self, instance: InstanceId, report: object, now_s: float
    ) -> None:
        """Applies what a question says of a replica.

        Raises:
            ValueError, TypeError: If it is malformed.
        """
