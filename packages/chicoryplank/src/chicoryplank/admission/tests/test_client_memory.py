"""Tests of the bound on what clients take from a process.

Load pattern: more unfinished, queued, unread and idle connections than fit.
"""

import random

import testtools

from chicoryplank.admission import (
    SMALL_BODY_BYTES,
    Activity,
    ClientMemory,
    ClientMemoryLimits,
    ShedReason,
    compute_client_limits,
)

_MEBIBYTE = 1_048_576
_LIMITS = ClientMemoryLimits(16 * _MEBIBYTE, 50)
_BODY_BYTES = 4 * _MEBIBYTE


class _Clients:
    """Connections of a process, which end when they are shed.

    Attributes:
        memory: The bound under test.
        now_s: Current time in seconds.
        shed: Connections that were shed, with the reason.
    """

    def __init__(self, limits=_LIMITS):
        self.now_s = 0.0
        self.memory = ClientMemory(limits, lambda: self.now_s)
        self.shed = []
        self._kept = {}

    def open(self):
        """Opens a connection; None if it is refused."""

        def shed(reason):
            self.shed.append((usage, reason))
            return self._kept.get(usage)

        usage = self.memory.open(shed)
        return usage

    def receive(self, held_bytes=0, usage=None):
        """Receives a part of a request, by default on a new connection."""
        usage = usage or self.open()
        self.memory.set_activity(usage, Activity.RECEIVING)
        self.memory.observe(usage, held_bytes, held_bytes)
        return usage

    def complete(self, held_bytes=0):
        """Receives a whole request, which is in progress from then on."""
        usage = self.open()
        self.memory.set_activity(usage, Activity.BUSY)
        self.memory.observe(usage, held_bytes)
        return usage

    def queue_behind(self, usage, held_bytes, kept_bytes):
        """Queues requests behind the one in progress."""
        self._kept[usage] = kept_bytes
        self.memory.set_activity(usage, Activity.RECEIVING)
        self.memory.observe(usage, kept_bytes + held_bytes, held_bytes)


class TestShedOrder(testtools.TestCase):
    """Ordinary requests find room, and complete ones are kept."""

    def test_request_without_progress_is_shed_first(self):
        """Guards against shedding requests that arrive instead."""
        clients = _Clients()
        stalled = clients.receive(_MEBIBYTE)
        clients.now_s = 20.0
        for _ in range(15):
            clients.receive(_MEBIBYTE)
        self.assertEqual([(stalled, ShedReason.STALLED)], clients.shed)

    def test_request_that_arrives_byte_by_byte_is_shed_first(self):
        """Guards against clients that send just enough to count as active."""
        clients = _Clients()
        slow = clients.receive(1_000)
        for _ in range(20):
            clients.now_s += 1.0
            clients.receive(1_000, slow)
        for _ in range(16):
            clients.receive(_MEBIBYTE)
        self.assertEqual((slow, ShedReason.STALLED), clients.shed[0])

    def test_largest_unfinished_request_is_shed(self):
        """Guards against shedding small requests for large ones."""
        clients = _Clients()
        small = [clients.receive(1_000) for _ in range(10)]
        large = [clients.receive(_MEBIBYTE) for _ in range(20)]
        shed = {usage for usage, _ in clients.shed}
        self.assertTrue(shed)
        self.assertEqual(set(), shed & set(small))
        self.assertLessEqual(shed, set(large))

    def test_complete_requests_are_not_shed(self):
        """Guards against a refusal of what is in progress."""
        clients = _Clients()
        for _ in range(14):
            clients.complete(_MEBIBYTE)
        last = clients.receive(2 * _MEBIBYTE)
        self.assertEqual([(last, ShedReason.LARGEST)], clients.shed)
        while (usage := clients.open()) is not None:
            clients.memory.set_activity(usage, Activity.BUSY)
        self.assertEqual([last], [usage for usage, _ in clients.shed])

    def test_queued_requests_are_shed_and_the_one_in_progress_is_kept(self):
        """Guards against counting what was dropped, or dropping too much."""
        clients = _Clients()
        usage = clients.complete(1_000)
        clients.queue_behind(usage, 20 * _MEBIBYTE, 1_000)
        self.assertEqual([(usage, ShedReason.LARGEST)], clients.shed)
        self.assertLess(clients.memory.used_bytes, _MEBIBYTE)
        self.assertEqual(1, clients.memory.connections)

    def test_client_that_does_not_read_is_shed(self):
        """Guards against responses that are never read."""
        clients = _Clients()
        first, second = clients.complete(), clients.complete()
        clients.memory.observe_unread(first, 3 * _MEBIBYTE)
        clients.memory.observe_unread(second, 3 * _MEBIBYTE)
        self.assertEqual([(first, ShedReason.UNREAD)], clients.shed)


class TestConnections(testtools.TestCase):
    """The number of connections is bounded."""

    def test_longest_idle_connection_makes_room(self):
        """Guards against idle clients that keep out ordinary ones."""
        clients = _Clients()
        idle = [clients.open() for _ in range(50)]
        self.assertIsNotNone(clients.open())
        self.assertEqual([(idle[0], ShedReason.IDLE)], clients.shed)
        self.assertEqual(50, clients.memory.connections)

    def test_connection_is_refused_if_all_are_busy(self):
        """Guards against dropping a request in progress for a new client."""
        clients = _Clients()
        for _ in range(50):
            clients.complete()
        self.assertIsNone(clients.open())
        self.assertEqual([], clients.shed)

    def test_limits_follow_from_the_machine(self):
        """Guards against a bound that does not fit into a small machine."""
        for memory_bytes in (50_000_000, 200_000_000, 300_000_000, 1 << 34):
            limits = compute_client_limits(memory_bytes, 4_100)
            self.assertGreater(limits.max_bytes, 0)
            self.assertLess(limits.max_bytes, 0.6 * memory_bytes)
        self.assertGreater(
            compute_client_limits(1 << 30, 10).max_connections, 0
        )


class TestReservations(testtools.TestCase):
    """Large bodies are received in turn."""

    def _reserve(self, clients, granted):
        usage = clients.receive(SMALL_BODY_BYTES)
        if clients.memory.reserve(
            usage, _BODY_BYTES, lambda: granted.append(usage)
        ):
            granted.append(usage)
        return usage

    def test_bodies_wait_in_turn(self):
        """Guards against many bodies that are all received to the half."""
        clients, granted = _Clients(), []
        usages = [self._reserve(clients, granted) for _ in range(5)]
        self.assertEqual(usages[:2], granted)
        clients.memory.release(usages[1])
        clients.memory.close(usages[0])
        self.assertEqual(usages[:4], granted)
        self.assertEqual([], clients.shed)

    def test_reservation_without_progress_ends_for_another(self):
        """Guards against clients that stop just short of their end."""
        clients, granted = _Clients(), []
        usages = [self._reserve(clients, granted) for _ in range(3)]
        clients.now_s = 0.9
        clients.memory.check_waiting(usages[2])
        self.assertEqual([], clients.shed)
        clients.now_s = 1.1
        clients.memory.observe(usages[0], _MEBIBYTE, _MEBIBYTE)
        clients.memory.check_waiting(usages[2])
        self.assertEqual([(usages[1], ShedReason.STALLED)], clients.shed)
        self.assertEqual(usages, granted)

    def test_no_reservation_is_waited_for_in_vain(self):
        """Guards against clients that learn too late that they are refused."""
        clients, granted = _Clients(), []
        usages = [self._reserve(clients, granted) for _ in range(3)]
        clients.now_s = 1.2
        for usage in usages[:2]:
            clients.memory.observe(usage, _MEBIBYTE, _MEBIBYTE)
        clients.memory.check_waiting(usages[2])
        self.assertEqual([(usages[2], ShedReason.WAITED)], clients.shed)

    def test_complete_body_keeps_what_it_takes(self):
        """Guards against a reservation that ends before its request."""
        clients, granted = _Clients(), []
        usages = [self._reserve(clients, granted) for _ in range(3)]
        clients.memory.observe(usages[0], _MEBIBYTE)
        clients.memory.set_activity(usages[0], Activity.BUSY)
        clients.memory.settle(usages[0])
        self.assertEqual(usages, granted)
        self.assertEqual(_MEBIBYTE, usages[0].reserved_bytes)

    def test_largest_body_fits(self):
        """Guards against a body that is accepted and never received."""
        clients, granted = _Clients(), []
        usage = clients.receive(SMALL_BODY_BYTES)
        self.assertTrue(
            clients.memory.reserve(
                usage, clients.memory.max_body_bytes, lambda: None
            )
        )
        self.assertEqual([], granted)


class TestAccounts(testtools.TestCase):
    """The sum stays true and below the bound."""

    def test_random_changes(self):
        """Guards against bytes that stay charged, or are charged twice."""
        for seed in range(30):
            self._run(random.Random(seed))

    def _run(self, rng):
        clients = _Clients()
        usages = []
        for _ in range(400):
            clients.now_s += rng.uniform(0.0, 0.3)
            usage = rng.choice(usages) if usages else None
            action = rng.randrange(7)
            if action == 0 or usage is None:
                usage = clients.open()
                usages += [usage] if usage is not None else []
            elif action == 1:
                clients.receive(rng.randrange(2 * _MEBIBYTE), usage)
            elif action == 2:
                clients.memory.set_activity(usage, Activity.BUSY)
                clients.memory.settle(usage)
            elif action == 3:
                clients.memory.reserve(usage, _BODY_BYTES, lambda: None)
            elif action == 4:
                clients.memory.check_waiting(usage)
            elif action == 5:
                clients.memory.observe_unread(usage, rng.choice((0, 100_000)))
            else:
                clients.memory.release(usage)
                clients.memory.close(usage)
            self._check(clients, usages)
        for usage in usages:
            clients.memory.close(usage)
        self.assertEqual(0, clients.memory.used_bytes)
        self.assertEqual(0, clients.memory.connections)

    def _check(self, clients, usages):
        charged = sum(
            usage.compute_charge() for usage in usages if usage.charged_bytes
        )
        self.assertEqual(charged, clients.memory.used_bytes)
        unfinished = [
            usage
            for usage in usages
            if usage.charged_bytes and usage.activity is not Activity.BUSY
        ]
        if unfinished:
            self.assertLessEqual(clients.memory.used_bytes, _LIMITS.max_bytes)
