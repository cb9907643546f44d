"""Replicas that return after a crash while requests wait for them.

Load pattern: some requests crash the replica that they are sent to. While few
replicas are left, requests wait, and the first replica that returns gets all of
them at once. If a single one is harmful, all are lost with it; and since all of
them crash as soon after they were sent, nothing shows which one it was. So a
replica that returns gets one request, and three times as many each time that
one of these has shown that the replica lives, or some time has passed.
"""

import dataclasses
from collections.abc import Collection

from chicoryplank.ids import InstanceId

_GROWTH = 3
# Time in seconds after which the number grows without a request of this entry:
# the requests of other entries may occupy the replica.
_STEP_S = 0.6
# Time in seconds after a crash in which the replica is expected back.
_MAX_ABSENCE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Ramp:
    """Number of requests that a replica got at a time, since a moment.

    Attributes:
        places: The number.
        since_s: Time from which on it held, in seconds.
        is_back: Whether the replica has started again.
    """

    places: int
    since_s: float
    is_back: bool

    def get_places(self, now_s: float) -> int:
        """Returns the number of requests at a time."""
        if not self.is_back:
            return self.places
        steps = max(0, int((now_s - self.since_s) / _STEP_S))
        return self.places * _GROWTH ** min(steps, 20)


class ReturningReplicas:
    """Numbers of requests that replicas get at a time after a crash.

    Example:
        >>> returning = ReturningReplicas()
        >>> returning.observe_start(InstanceId("a"), now_s=0.0)
        >>> returning.get_places(InstanceId("a"), 8, now_s=0.0)
        1
        >>> returning.observe_survival(InstanceId("a"), sent_s=0.1, now_s=0.4)
        True
        >>> returning.get_places(InstanceId("a"), 8, now_s=0.4)
        3
    """

    def __init__(self) -> None:
        self._ramps: dict[InstanceId, _Ramp] = {}

    def observe_crash(self, instance: InstanceId, now_s: float) -> None:
        """Records that a replica has crashed, at a time in seconds."""
        self._ramps[instance] = _Ramp(1, now_s, is_back=False)

    def observe_start(self, instance: InstanceId, now_s: float) -> None:
        """Records that a replica has started after a crash."""
        self._ramps[instance] = _Ramp(1, now_s, is_back=True)

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
        ramp = self._ramps.get(instance)
        if ramp is None or sent_s < ramp.since_s:
            return False
        places = ramp.get_places(now_s) * _GROWTH
        self._ramps[instance] = _Ramp(places, now_s, is_back=True)
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
        ramp = self._ramps.get(instance)
        if ramp is None:
            return None
        places = ramp.get_places(now_s)
        is_overdue = not ramp.is_back and now_s - ramp.since_s >= _MAX_ABSENCE_S
        if places >= slots or is_overdue:
            del self._ramps[instance]
            return None
        return places

    def retain(self, instances: Collection[InstanceId]) -> None:
        """Forgets replicas that are no longer registered."""
        for instance in self._ramps.keys() - instances:
            del self._ramps[instance]
