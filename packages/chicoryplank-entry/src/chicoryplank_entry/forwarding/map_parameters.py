"""Conditions and intervals of expert map changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MapParameters:
    """Conditions and intervals of map changes.

    Attributes:
        poll_interval_s: Minimum time between two reads of the ranks.
        urgent_poll_interval_s: Same as poll_interval_s, from the opening of a
            group to its first map change. The first map is the slowest, and
            requests have waited for the group.
        max_urgent_s: Maximum time for which a new group counts as urgent.
        decay_time_s: Time constant of the decay of the measured demand.
        min_gain: Minimum relative reduction of the mean step duration by a
            change, for the time that the demand is expected to last.
        min_step_share: Step duration, as a fraction of the target gap between
            two events of a stream, below which the map is not changed since
            the steps are short enough.
        min_choices: Minimum decayed number of choices for a decision.
        min_change_interval_s: Minimum time between two changes of a group.
    """

    poll_interval_s: float = 0.12
    urgent_poll_interval_s: float = 0.1
    max_urgent_s: float = 2.0
    decay_time_s: float = 0.2
    min_gain: float = 0.08
    min_step_share: float = 0.5
    min_choices: int = 2_000
    min_change_interval_s: float = 0.1
