"""Weighs the duration of a map change against the shorter steps after it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCosts:
    """Durations that decide how large a change of the map pays off.

    Attributes:
        copy_s: Time in seconds that a rank takes to copy one expert.
        fixed_s: Duration of a change without its copies, in seconds.
        lasting_s: Time in seconds for which the demand is expected to last.
        slowdown: Relative increase of the step duration during the copies.
        expert_share: Fraction of the work per token that the experts do.
        skew_error: Amount by which the skew of a new map exceeds the predicted
            one. The loads are samples, and the search fits their noise too.
    """

    copy_s: float = 0.0
    fixed_s: float = 0.0
    lasting_s: float = 1.0
    slowdown: float = 0.0
    expert_share: float = 1.0
    skew_error: float = 0.0

    def compute_mean_duration(
        self, rank_copies: int, skew_before: float, skew_after: float
    ) -> float:
        """Returns the mean step duration while the demand lasts.

        A step of a group whose experts are balanced counts as one.

        Args:
            rank_copies: Largest number of copies of one rank.
            skew_before: Mean skew of the layer sets until the change is active.
            skew_after: Predicted mean skew of the layer sets from then on.
        """
        before = 1.0 + self.expert_share * (skew_before - 1.0)
        if skew_after == skew_before and not rank_copies:
            return before
        after = 1.0 + self.expert_share * (skew_after + self.skew_error - 1.0)
        copying_s = rank_copies * self.copy_s
        changing_s = copying_s + self.fixed_s
        lasting_s = max(self.lasting_s, changing_s)
        total = (
            copying_s * before * (1.0 + self.slowdown)
            + self.fixed_s * before
            + (lasting_s - changing_s) * after
        )
        return total / lasting_s
