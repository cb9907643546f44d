"""Replicas that return after a crash while requests wait for them.

Load pattern: some requests crash the replica that they are sent to. While few
replicas are left, requests wait, and the first replica that returns gets all of
them at once. If a single one is harmful, all are lost with it; and since all of
them crash as soon after they were sent, nothing shows which one it was. So a
replica that returns gets one request, and three times as many each time that
one of these has shown that the replica lives.
"""

from collections.abc import Collection

from chicoryplank.ids import InstanceId

_GROWTH = 3
# Time in seconds without a crash after which a replica is no longer limited,
# also if no request has shown that it lives.
_MAX_RAMP_S = 5.0


class ReturningReplicas:
    """Numbers of requests that replicas get at a time after a crash.

    Example:
        >>> returning = ReturningReplicas()
        >>> returning.observe_return(InstanceId("a"), now_s=0.0)
        >>> returning.get_places(InstanceId("a"), 8, now_s=0.0)
        1
        >>> returning.observe_survival(InstanceId("a"), sent_s=0.1, now_s=0.4)
        True
        >>> returning.get_places(InstanceId("a"), 8, now_s=0.4)
        3
    """

    def __init__(self) -> None:
        self._places: dict[InstanceId, tuple[int, float]] = {}

    def observe_return(self, instance: InstanceId, now_s: float) -> None:
        """Records that a replica crashed, or that another start of it returns.

        Args:
            instance: The replica.
            now_s: Current time in seconds.
        """
        self._places[instance] = (1, now_s)

    def observe_survival(
        self, instance: InstanceId, sent_s: float, now_s: float
    ) -> bool:
        """Records that a replica has outlived the first output of a request.

        A request that was sent before the number was last raised proves nothing
        new.

        Args:
            instance: The replica.
            sent_s: Time when the request was sent, in seconds.
            now_s: Current time in seconds.

        Returns:
            Whether the replica gets more requests from now on.
        """
        known = self._places.get(instance)
        if known is None or sent_s < known[1]:
            return False
        self._places[instance] = (known[0] * _GROWTH, now_s)
        return True

    def get_places(
        self, instance: InstanceId, slots: int, now_s: float
    ) -> int | None:
        """Returns how many requests a replica gets at a time.

        Args:
            instance: The replica.
            slots: Number of requests that it processes concurrently.
            now_s: Current time in seconds.

        Returns:
            The number; None if the replica is not limited.
        """
        known = self._places.get(instance)
        if known is None:
            return None
        places, changed_s = known
        if places >= slots or now_s - changed_s >= _MAX_RAMP_S:
            del self._places[instance]
            return None
        return places

    def retain(self, instances: Collection[InstanceId]) -> None:
        """Forgets replicas that are no longer registered."""
        for instance in self._places.keys() - instances:
            del self._places[instance]
