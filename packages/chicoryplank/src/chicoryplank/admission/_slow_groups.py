"""Replicas of groups that one slow rank holds back.

Load pattern: one rank of a lock-step group computes several times slower than
usual, and all ranks wait for it in each step. Streams at any replica of the
group pause too long and pass their deadlines, while their slots look like those
of other groups. Requests go to the other groups, and wait if these are full.
"""

from collections.abc import Collection, Iterable, Mapping

from chicoryplank.ids import InstanceId

# Ratio of the computing time of a rank to its usual time from which its group
# is avoided. Below it, the streams of the group can still keep their pace.
_MIN_SLOW_PACE = 2.0
# Factor by which the slowest rank of some other group must be faster. If all
# groups have slow ranks, avoiding some of them only overloads the others.
_MIN_RATIO = 2.0
# Age in seconds after which a report on slow replicas is no longer used. The
# controller reports several times a second.
_MAX_AGE_S = 1.0


def find_slow_replicas(
    paces: Mapping[str, Mapping[InstanceId, float]],
) -> frozenset[InstanceId]:
    """Returns the replicas of the groups to avoid.

    Args:
        paces: Ratio of the computing time of each rank to its usual time, by
            group and replica.

    Example:
        >>> a, b = InstanceId("a"), InstanceId("b")
        >>> sorted(find_slow_replicas({"g": {a: 1.0}, "h": {b: 5.0}}))
        ['b']
    """
    slowest = {
        group: max(ranks.values()) for group, ranks in paces.items() if ranks
    }
    fastest_group = min(slowest.values(), default=1.0)
    return frozenset(
        instance
        for group, pace in slowest.items()
        if pace >= max(_MIN_SLOW_PACE, _MIN_RATIO * fastest_group)
        for instance in paces[group]
    )


class SlowReplicas:
    """The latest report on replicas to avoid, which expires soon."""

    def __init__(self) -> None:
        self._instances: frozenset[InstanceId] = frozenset()
        self._reported_s = float("-inf")

    def observe(
        self, instances: Iterable[InstanceId], reported_s: float
    ) -> None:
        """Replaces the report unless it is older than the known one.

        Args:
            instances: Replicas to avoid.
            reported_s: Time of the report in seconds.
        """
        if reported_s >= self._reported_s:
            self._instances = frozenset(instances)
            self._reported_s = reported_s

    def get_report(
        self, now_s: float
    ) -> tuple[frozenset[InstanceId], float] | None:
        """Returns the replicas and the age in seconds; None if outdated."""
        age_s = now_s - self._reported_s
        if age_s > _MAX_AGE_S:
            return None
        return self._instances, max(0.0, age_s)

    def list_avoided(
        self, replicas: Collection[InstanceId], now_s: float
    ) -> frozenset[InstanceId]:
        """Returns the replicas to avoid; none if that would be all."""
        report = self.get_report(now_s)
        if report is None or report[0].issuperset(replicas):
            return frozenset()
        return report[0]
