"""How many requests a lock-step batch can write without long pauses.

Answers the pattern "the batch has slots left, but every event is late": the
time of a pass grows with the requests that write, and with the skew of the
expert map.
"""

from datetime import timedelta

from chicoryplank.traffic import EngineProfile


def compute_pass_time(
    engine: EngineProfile,
    running: float,
    skew: float = 1.0,
    prefill_tokens: float = 0.0,
) -> timedelta:
    """Returns the expected time of one pass of a group.

    Args:
        engine: Timing of the engine.
        running: Writing requests at each rank.
        skew: Load of the slowest rank over the mean, for the expert part.
        prefill_tokens: Prompt tokens that a rank reads in the pass.
    """
    context = (
        engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    ) / 1000
    step = (
        engine.step
        + running * engine.step_per_request
        + running * context * engine.step_per_kilotoken
    )
    work = step * engine.steps_per_pass
    if engine.prefill_tokens_per_s > 0:
        work += timedelta(seconds=prefill_tokens / engine.prefill_tokens_per_s)
    share = engine.expert_share
    return work * ((1.0 - share) + share * skew)


def compute_batch_limit(
    engine: EngineProfile, gap_target: timedelta, skew: float
) -> int:
    """Returns the writing requests of a rank that keep events in time.

    Requests leave and enter a batch all the time, so a pass also reads the
    prompts that replace those that end.

    Args:
        engine: Timing of the engine.
        gap_target: Longest pause between two events that is in time.
        skew: Load of the slowest rank over the mean.

    Returns:
        At least 1 and at most the slots of the engine.
    """
    limit = 1
    passes = max(
        1.0, engine.usual_answer_tokens / max(1, engine.steps_per_pass)
    )
    for running in range(2, engine.slots + 1):
        prefill = engine.usual_prompt_tokens * running / passes
        if compute_pass_time(engine, running, skew, prefill) > gap_target:
            break
        limit = running
    return limit
