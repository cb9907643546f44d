"""Tests of the slow start of a replica, on the model in virtual time.

Unless a test says otherwise, a full backlog waits, so that every request that
the limit permits is sent at once.
"""

import math
import random

import testtools

from chicoryplank.admission import (
    PaceOutcome,
    PaceState,
    ReplicaPace,
    ServiceTimes,
)
from chicoryplank.admission.tests.pace_model import (
    SERVICE_S,
    FixedRamp,
    NoRamp,
    Replica,
    make_pace,
    run,
)

_MAX_FULL_USE_S = 1.0
_MAX_BAD_SHARE = 0.05
_MAX_OSCILLATION = 0.2
_COLD_S = 3.0


def _run_cold(pace, capacity, slots, warm_s=_COLD_S, **options):
    """Runs a replica that becomes warm at a time."""
    replica = Replica(
        lambda now_s: capacity if now_s < warm_s else slots, pace, **options
    )
    run([replica], 8.0)
    return replica


class TestReplicaThatIsCold(testtools.TestCase):
    """A replica is cold for 3 s while a full backlog waits."""

    def test_use_and_rejections(self):
        """Guards against flooding a cold replica, or leaving a warm one."""
        for slots in (5, 6):
            for capacity in (1, 2, 3):
                for step in range(20):
                    warm_s = _COLD_S + 0.04 * step
                    replica = _run_cold(
                        make_pace(slots), capacity, slots, warm_s
                    )
                    case = (slots, capacity, warm_s)
                    self.assertLessEqual(
                        replica.find_full_use_s(warm_s, slots),
                        _MAX_FULL_USE_S,
                        case,
                    )
                    self.assertLessEqual(
                        replica.find_bad_share(replica.ramp_end_s),
                        _MAX_BAD_SHARE,
                        case,
                    )
                    self.assertLessEqual(
                        replica.find_oscillation(1.0, warm_s) / slots,
                        _MAX_OSCILLATION,
                        case,
                    )

    def test_varying_service_times(self):
        """Guards against growth on the fastest of several responses."""
        rng = random.Random(1)
        for capacity in (1, 2, 3):
            shares = []
            for seed in range(10):
                replica = Replica(
                    lambda now_s, value=capacity: value if now_s < 3 else 6,
                    make_pace(6),
                    spread=0.2,
                    seed=seed,
                )
                replica.times = ServiceTimes()
                for _ in range(200):
                    replica.times.observe(
                        SERVICE_S * math.exp(rng.gauss(0.0, 0.2)), 0.0
                    )
                run([replica], 8.0)
                shares.append(replica.find_bad_share(replica.ramp_end_s or 8.0))
            mean = sum(shares) / len(shares)
            self.assertLessEqual(mean, _MAX_BAD_SHARE, capacity)

    def test_baselines_miss_the_targets(self):
        """Guards against a model that any ramp passes."""
        flooded = _run_cold(NoRamp(6), 2, 6)
        self.assertGreater(flooded.find_bad_share(5.0), 0.3)
        delayed = _run_cold(FixedRamp(6), 2, 6)
        self.assertGreater(delayed.find_full_use_s(_COLD_S, 6), 1.5)

    def test_lost_reports(self):
        """Guards against a limit that grows without any outcome."""
        lossy = _run_cold(make_pace(6), 2, 6, loss=0.3)
        self.assertLessEqual(
            lossy.find_bad_share(lossy.ramp_end_s), _MAX_BAD_SHARE
        )
        silent = _run_cold(make_pace(6, in_progress=4), 2, 6, loss=1.0)
        self.assertEqual(4, silent.history[0][1])
        self.assertEqual(1, silent.history[-1][1])


class TestReplicaThatStaysSlow(testtools.TestCase):
    """A replica never reaches its slots; a full backlog waits."""

    def test_few_slots_of_use(self):
        """Guards against a limit that keeps exceeding what is processed."""
        for slots in (5, 6):
            for capacity in range(1, slots):
                replica = Replica(
                    lambda now_s, value=capacity: value, make_pace(slots)
                )
                run([replica], 10.0)
                case = (slots, capacity)
                self.assertLessEqual(
                    replica.find_bad_share(), _MAX_BAD_SHARE, case
                )
                self.assertLessEqual(
                    replica.find_oscillation(1.0, 10.0) / slots,
                    _MAX_OSCILLATION,
                    case,
                )

    def test_slow_with_one_request(self):
        """Guards against more requests to a replica that delays each one."""
        replica = Replica(lambda now_s: 0.3, make_pace(6))
        run([replica], 10.0)
        self.assertEqual(1, max(running for _, _, running in replica.history))


class TestReplicaThatCrashes(testtools.TestCase):
    """A replica ends and starts again while a full backlog waits."""

    def test_return_after_a_crash(self):
        """Guards against a backlog that floods the new process."""

        def get_capacity(now_s):
            if now_s < 2:
                return 6
            return 0 if now_s < 3 else 2 if now_s < 6 else 6

        replica = Replica(get_capacity, make_pace(6))
        run([replica], 12.0, restarts=[3.0])
        self.assertLessEqual(replica.find_bad_share(), _MAX_BAD_SHARE)
        self.assertLessEqual(replica.find_full_use_s(6.0, 6), _MAX_FULL_USE_S)

    def test_flapping(self):
        """Guards against a flood at each return of a replica that flaps."""
        for up_s, down_s in ((1.5, 0.5), (1.2, 0.8), (2, 1), (3, 0.7)):
            period_s = up_s + down_s
            starts = [number * period_s for number in range(1, 20)]
            for restarts in (starts, []):
                replica = Replica(
                    lambda now_s, up=up_s, period=period_s: (
                        6 if now_s % period < up else 0
                    ),
                    make_pace(6),
                )
                run([replica], 20.0, restarts=restarts)
                self.assertLessEqual(
                    replica.find_bad_share(),
                    _MAX_BAD_SHARE,
                    (up_s, down_s, len(restarts)),
                )


class TestHalfOfAZone(testtools.TestCase):
    """Half of the replicas of a zone start at once; a full backlog waits."""

    def test_plain_replicas(self):
        """Guards against ramps that only work for a single replica."""
        replicas = [
            Replica(
                lambda now_s, number=number: (
                    2 if now_s < _COLD_S + 0.02 * number else 6
                ),
                make_pace(6),
            )
            for number in range(12)
        ]
        run(replicas, 6.0)
        for number, replica in enumerate(replicas):
            warm_s = _COLD_S + 0.02 * number
            self.assertLessEqual(
                replica.find_full_use_s(warm_s, 6), _MAX_FULL_USE_S
            )
            self.assertLessEqual(replica.find_bad_share(), _MAX_BAD_SHARE)

    def test_ranks_of_a_group(self):
        """Guards against cold ranks that make all ranks of a group late."""
        for capacity in (1, 2, 3):
            for count in (1, 12):
                cold = [
                    Replica(
                        lambda now_s, value=capacity: (
                            value if now_s < _COLD_S else 5
                        ),
                        make_pace(5, is_lockstep=True),
                    )
                    for _ in range(count)
                ]
                warm = [
                    Replica(lambda now_s: 5, NoRamp(5))
                    for _ in range(24 - count)
                ]
                run([*cold, *warm], 6.0, is_lockstep=True)
                for replica in cold:
                    self.assertLessEqual(
                        replica.find_full_use_s(_COLD_S, 5), _MAX_FULL_USE_S
                    )
                for replica in (*cold, *warm):
                    self.assertLessEqual(
                        replica.find_bad_share(), _MAX_BAD_SHARE
                    )

    def test_group_that_another_rank_holds_back(self):
        """Guards against ramps that stop while the whole group is slow."""
        for begin_s in (0.0, 0.5, 1.5):
            rank = Replica(lambda now_s: 5, make_pace(5, is_lockstep=True))
            slow = Replica(
                lambda now_s, begin_s=begin_s: 2 if now_s >= begin_s else 5,
                NoRamp(5),
            )
            others = [Replica(lambda now_s: 5, NoRamp(5)) for _ in range(6)]
            run([rank, slow, *others], 8.0, is_lockstep=True)
            self.assertEqual(5, rank.history[-1][1], begin_s)


class TestMisleadingReplicas(testtools.TestCase):
    """The first responses or the registered slots mislead the ramp."""

    def _check_queue(self, capacity, is_lockstep):
        slots = 5 if is_lockstep else 6
        for filled_s in (0.3, 0.5, 0.8, 1.2):

            def get_capacity(now_s, filled_s=filled_s):
                return capacity if filled_s <= now_s < 4 else slots

            replica = Replica(
                get_capacity, make_pace(slots, is_lockstep=is_lockstep)
            )
            others = [Replica(lambda now_s: 5, NoRamp(5)) for _ in range(7)]
            run([replica, *others], 8.0, is_lockstep=is_lockstep)
            case = (capacity, is_lockstep, filled_s)
            self.assertLessEqual(
                replica.find_bad_share(replica.ramp_end_s or 8.0),
                _MAX_BAD_SHARE,
                case,
            )
            self.assertLessEqual(
                replica.find_full_use_s(4.0, slots), _MAX_FULL_USE_S, case
            )

    def test_queue_that_fills_late(self):
        """Guards against a ramp that ends with the first fast responses."""
        for capacity in (2, 3):
            self._check_queue(capacity, is_lockstep=False)
            self._check_queue(capacity, is_lockstep=True)

    def test_queue_of_a_replica_with_little_capacity(self):
        """Guards against a slow reaction to a collapse to one request."""
        self._check_queue(1, is_lockstep=False)
        self._check_queue(1, is_lockstep=True)

    def test_registered_slots_are_too_many(self):
        """Guards against trust in the number of slots of a registration."""
        for queue in (0, 6):
            replica = Replica(lambda now_s: 6, make_pace(12), queue=queue)
            run([replica], 10.0)
            self.assertLessEqual(
                replica.find_bad_share(), _MAX_BAD_SHARE, queue
            )
            self.assertLessEqual(
                replica.find_oscillation(2.0, 10.0) / 12,
                _MAX_OSCILLATION,
                queue,
            )


class TestReplicaPace(testtools.TestCase):
    """Single steps of the controller."""

    def _respond(self, pace, sent_s, elapsed_s=SERVICE_S):
        pace.record_permit(pace.limit - 1, sent_s)
        pace.observe(PaceOutcome.RESPONSE, elapsed_s, None, sent_s + elapsed_s)

    def test_unused_limit_does_not_grow(self):
        """Guards against a limit that low demand raises unseen."""
        pace = ReplicaPace(6, 0.0)
        self._respond(pace, 0.0)
        self.assertEqual(2, pace.limit)
        pace.record_permit(0, 1.0)
        pace.observe(PaceOutcome.RESPONSE, SERVICE_S, None, 1.2)
        self.assertEqual(2, pace.limit)

    def test_new_issuer_begins_with_what_it_sees(self):
        """Guards against a stop of all requests when the issuer changes."""
        self.assertEqual(4, ReplicaPace(6, 0.0, in_progress=4).limit)
        self.assertEqual(6, ReplicaPace(6, 0.0, in_progress=9).limit)

    def test_own_times_without_times_of_the_service(self):
        """Guards against blind growth while all replicas of a service start."""
        pace = ReplicaPace(6, 0.0)
        self._respond(pace, 0.0)
        self._respond(pace, 1.0, 2 * SERVICE_S)
        self.assertEqual(1, pace.limit)
        self.assertIs(PaceState.BACKING_OFF, pace.state)

    def test_caller_that_leaves_early(self):
        """Guards against taking an impatient caller for a slow replica."""
        pace = make_pace(6)
        pace.observe(PaceOutcome.UNFINISHED, 0.01, None, 1.0)
        self.assertEqual(0, pace.slow)
        pace.observe(PaceOutcome.UNFINISHED, 2.0, None, 3.0)
        self.assertEqual(1, pace.slow)

    def test_times_of_a_service(self):
        """Guards against a comparison with outdated or too few times."""
        times = ServiceTimes()
        times.observe(SERVICE_S, 0.0)
        self.assertIsNone(times.get_slow_s(0.0))
        for _ in range(20):
            times.observe(SERVICE_S, 1.0)
        self.assertAlmostEqual(1.3 * SERVICE_S, times.get_slow_s(1.0), 2)
        self.assertIsNone(times.get_slow_s(12.0))
