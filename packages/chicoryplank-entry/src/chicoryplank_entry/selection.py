"""Choice of the agents to connect to, and of the agent for each attempt."""

import random
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from chicoryplank.admission import HoldReason, ReplicaHolds
from chicoryplank.clock import Clock
from chicoryplank.configuration import Snapshot
from chicoryplank.ids import InstanceId, ZoneId
from chicoryplank.membership import choose_version_sources
from chicoryplank.process_state import Instance
from chicoryplank.rendezvous import rank_members
from chicoryplank.routing import (
    Candidate,
    LoadReport,
    Policy,
    Progress,
    RoutingParameters,
    RoutingRequest,
    choose_subset,
    make_balanced_policy,
)
from chicoryplank_entry.relays import Relay, RelayPool

# Replicas discovered within this time after the start of the entry are not
# treated as newly added.
_STARTUP_TIME = timedelta(seconds=10)
# Number of entries of a zone that connect to each of its agents. With 25
# entries and 545 replicas in a zone, an entry has 131 relays within its zone.
_ENTRIES_PER_AGENT = 6
# Number of agents of a deployment that an entry selects by its own ranking, in
# its zone and again in the other zones.
_MIN_AGENTS = 32
# Number of entries that announce a new version to an agent. With two, the agent
# is notified even if one of them has failed.
_VERSION_SOURCES = 2
# Up to 8 entries all send to the same replicas. In large deployments, about as
# many entries send to a replica, regardless of the total number of entries.
_MAX_DECIDING_ENTRIES = 8


def choose_agents(
    own_entry: Instance, instances: Iterable[Instance], services: frozenset[str]
) -> frozenset[InstanceId]:
    """Returns the agents that an entry connects to.

    An entry connects to all agents of a small deployment. In a large one, each
    agent is connected to a few entries of its zone, and each entry also to some
    agents of other zones, so that the number of connections does not grow with
    the product of entries and replicas. Entries connect to all agents of a
    plain service, because all entries must send requests with the same
    idempotency key to the same agent.

    Args:
        own_entry: This entry.
        instances: The instance list.
        services: Deployments of plain services.
    """
    listed = tuple(instances)
    entries = [item for item in listed if item.role == "entry"]
    deployments: dict[str, list[Instance]] = {}
    for item in listed:
        if item.role == "backend":
            deployments.setdefault(item.deployment, []).append(item)
    selected: set[InstanceId] = set()
    for deployment, agents in deployments.items():
        if deployment in services:
            selected.update(agent.instance for agent in agents)
        else:
            selected.update(_choose_same_zone(own_entry, entries, agents))
            selected.update(_choose_other_zones(own_entry, agents))
    return frozenset(selected)


def get_service_deployments(snapshot: Snapshot) -> frozenset[str]:
    """Returns the deployments of plain services."""
    return frozenset(item.deployment for item in snapshot.services.values())


def choose_announcers(
    agent: Instance, entries: Iterable[Instance]
) -> tuple[InstanceId, ...]:
    """Returns the entries that announce a new version to an agent.

    They are among the entries of the agent's zone that are connected to it,
    because both choices prefer the entries with the lowest rendezvous scores.

    Args:
        agent: The agent's instance.
        entries: Live entries; those of other zones are considered only if the
            agent's zone has none.
    """
    listed = tuple(entries)
    same_zone = [item.instance for item in listed if item.zone == agent.zone]
    candidate_ids = same_zone or [item.instance for item in listed]
    return choose_version_sources(
        agent.instance, candidate_ids, count=_VERSION_SOURCES
    )


def _choose_same_zone(
    own_entry: Instance, entries: list[Instance], agents: list[Instance]
) -> Iterable[InstanceId]:
    subset = choose_subset(
        own_entry.instance,
        [item.instance for item in entries if item.zone == own_entry.zone],
        [
            _make_zone_candidate(agent)
            for agent in agents
            if agent.zone == own_entry.zone
        ],
        _ENTRIES_PER_AGENT,
        _MIN_AGENTS,
    )
    return (candidate.instance for candidate in subset)


def _choose_other_zones(
    own_entry: Instance, agents: list[Instance]
) -> list[InstanceId]:
    # Ranking all entries for all replicas would take seconds with 560 entries
    # and 12,000 replicas, so an entry ranks the replicas only for itself.
    other_zones = [
        agent.instance for agent in agents if agent.zone != own_entry.zone
    ]
    return rank_members(own_entry.instance, other_zones)[:_MIN_AGENTS]


def _make_zone_candidate(agent: Instance) -> Candidate:
    return Candidate(agent.instance, agent.zone)


class RelaySelector:
    """Chooses relays with one routing policy for each deployment.

    Args:
        zone: Availability zone of the entry.
        clock: Source of time.
        rng: Random number generator for the policies.
        count_entries: Returns the number of live entries.
        list_evacuated: Returns the evacuated zones.
    """

    def __init__(
        self,
        zone: ZoneId,
        clock: Clock,
        rng: random.Random,
        count_entries: Callable[[], int],
        list_evacuated: Callable[[], frozenset[ZoneId]] = frozenset,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._count_entries = count_entries
        self._list_evacuated = list_evacuated
        self._started_at = clock.now()
        self._policies: dict[str, Policy] = {}
        self._candidates: dict[str, tuple[Candidate, ...]] = {}
        self._candidate_ids: dict[str, list[InstanceId]] = {}
        self._holds = ReplicaHolds()
        self._joined_at: dict[InstanceId, datetime] = {}

    def list_usable(self, pool: RelayPool, deployment: str) -> list[Relay]:
        """Returns the relays of a deployment that may get new attempts.

        Replicas in evacuated zones get none, not even as a last choice.
        """
        evacuated = self._list_evacuated()
        return [
            relay
            for relay in pool.get_relays(deployment)
            if relay.is_usable and relay.instance.zone not in evacuated
        ]

    def choose(
        self,
        pool: RelayPool,
        deployment: str,
        prefix: bytes,
        excluded: frozenset[InstanceId],
    ) -> Relay | None:
        """Returns the relay for an attempt, or None if no relay is usable.

        Args:
            pool: Relays to choose from.
            deployment: Deployment that serves the request.
            prefix: Digest of the start of the prompt, for cache affinity.
            excluded: Replicas that were already tried; they are chosen only if
                no other replica is usable.
        """
        relays = {
            relay.instance.instance: relay
            for relay in self.list_usable(pool, deployment)
        }
        held = self._holds.list_held(self._now_s())
        if relays.keys() - excluded - held:
            excluded |= held
        elif not relays.keys() - excluded:
            excluded = frozenset()
        candidates = self._update_candidates(deployment, relays)
        request = RoutingRequest(prefix=prefix, excluded=excluded)
        policy = self._get_policy(deployment)
        selected = policy.choose(request, candidates, self._clock.now())
        return None if selected is None else relays[selected]

    def hold(self, relay: Relay, duration: timedelta | None) -> None:
        """Prefers other replicas until the limit of this one allows more."""
        until_s = self._now_s() + (duration or timedelta()).total_seconds()
        instance = relay.instance.instance
        self._holds.release(instance, HoldReason.LIMIT)
        self._holds.hold(instance, HoldReason.LIMIT, until_s)

    def get_hold(self, relay: Relay) -> timedelta:
        """Returns the time until the limit of a replica allows a request."""
        wait_s = self._holds.estimate_wait_s(
            [relay.instance.instance], self._now_s()
        )
        return timedelta(seconds=wait_s)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()

    def begin_attempt(self, relay: Relay) -> None:
        """Records the start of an attempt at a replica."""
        policy = self._get_policy(relay.instance.deployment)
        policy.begin(relay.instance.instance, 1.0, self._clock.now())

    def end_attempt(self, relay: Relay, succeeded: bool | None) -> None:
        """Records the end of an attempt at a replica.

        Args:
            relay: Relay to the replica's agent.
            succeeded: Whether the replica served the attempt; None if the
                outcome says nothing about the replica.
        """
        policy = self._get_policy(relay.instance.deployment)
        policy.end(relay.instance.instance, 1.0, self._clock.now(), succeeded)

    def observe_report(self, relay: Relay) -> None:
        """Passes the latest load report of a replica to its policy."""
        now = self._clock.now()
        measured_s = relay.report.measured_unix_ms / 1000
        age = timedelta(seconds=max(0.0, now.timestamp() - measured_s))
        policy = self._get_policy(relay.instance.deployment)
        policy.observe(
            LoadReport(
                relay.instance.instance,
                relay.report.running,
                relay.report.queued,
                now,
                age,
            )
        )

    def observe_progress(self, relay: Relay) -> None:
        """Records that a replica produced output."""
        policy = self._get_policy(relay.instance.deployment)
        policy.observe(Progress(relay.instance.instance, self._clock.now()))

    def _get_policy(self, deployment: str) -> Policy:
        policy = self._policies.get(deployment)
        if policy is None:
            entries = min(self._count_entries(), _MAX_DECIDING_ENTRIES)
            parameters = RoutingParameters(deciding_entries=entries)
            policy = make_balanced_policy(self._zone, parameters, self._rng)
            self._policies[deployment] = policy
        return policy

    def _update_candidates(
        self, deployment: str, relays: dict[InstanceId, Relay]
    ) -> tuple[Candidate, ...]:
        candidate_ids = list(relays)
        if self._candidate_ids.get(deployment) != candidate_ids:
            self._candidate_ids[deployment] = candidate_ids
            self._candidates[deployment] = tuple(
                self._make_candidate(relay) for relay in relays.values()
            )
        return self._candidates[deployment]

    def _make_candidate(self, relay: Relay) -> Candidate:
        instance = relay.instance.instance
        now = self._clock.now()
        if instance not in self._joined_at:
            self._joined_at[instance] = now
        joined_at = self._joined_at[instance]
        is_new = joined_at - self._started_at > _STARTUP_TIME
        return Candidate(
            instance,
            relay.instance.zone,
            joined_at=joined_at if is_new else None,
        )
