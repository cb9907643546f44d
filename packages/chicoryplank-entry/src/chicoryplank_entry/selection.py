"""Choice of an agent for each attempt, by a routing policy a deployment."""

import random
from collections.abc import Iterable
from datetime import datetime, timedelta

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

# Replicas that were found while the entry started are not new.
_STARTUP = timedelta(seconds=10)
# At 25 entries and 545 replicas of a zone an entry has 131 near relays.
_ENTRIES_PER_AGENT = 6
_MIN_AGENTS = 32
# Two, so that an agent hears of a version if one of them has failed.
_SOURCES = 2
# Today's 8 entries all send to the same replicas; in large deployments a
# replica has about as many, whatever the number of entries.
_MAX_DECIDING_ENTRIES = 8


def choose_agents(
    own: Instance, instances: Iterable[Instance], services: frozenset[str]
) -> frozenset[InstanceId]:
    """Returns the agents that an entry connects to.

    Small deployments are connected to whole. In large ones each agent serves
    a few entries of its zone, and each entry has some agents elsewhere, so
    that connections do not grow with entries times replicas. Plain services
    are connected to whole, since all entries must send one idempotency key to
    the same agent.

    Args:
        own: This entry.
        instances: The instance list.
        services: Deployments of plain services.
    """
    listed = tuple(instances)
    entries = [item for item in listed if item.role == "entry"]
    deployments: dict[str, list[Instance]] = {}
    for item in listed:
        if item.role == "backend":
            deployments.setdefault(item.deployment, []).append(item)
    chosen: set[InstanceId] = set()
    for deployment, agents in deployments.items():
        if deployment in services:
            chosen.update(agent.instance for agent in agents)
        else:
            chosen.update(_choose_near(own, entries, agents))
            chosen.update(_choose_far(own, agents))
    return frozenset(chosen)


def find_service_deployments(snapshot: Snapshot) -> frozenset[str]:
    """Returns the deployments of plain services."""
    return frozenset(item.deployment for item in snapshot.services.values())


def choose_announcers(
    agent: Instance, entries: Iterable[Instance]
) -> tuple[InstanceId, ...]:
    """Returns the entries that announce a new version to an agent.

    They are among those that the agent's zone connects to it: both choices
    prefer the entries with the lowest scores for the agent.

    Args:
        agent: The agent's instance.
        entries: Live entries; those of other zones count only if the agent's
            zone has none.
    """
    listed = tuple(entries)
    near = [item.instance for item in listed if item.zone == agent.zone]
    names = near or [item.instance for item in listed]
    return choose_version_sources(agent.instance, names, count=_SOURCES)


def _choose_near(
    own: Instance, entries: list[Instance], agents: list[Instance]
) -> Iterable[InstanceId]:
    subset = choose_subset(
        own.instance,
        [item.instance for item in entries if item.zone == own.zone],
        [_make_plain(agent) for agent in agents if agent.zone == own.zone],
        _ENTRIES_PER_AGENT,
        _MIN_AGENTS,
    )
    return (candidate.instance for candidate in subset)


def _choose_far(own: Instance, agents: list[Instance]) -> list[InstanceId]:
    # Comparing all entries with all replicas would take seconds at 560 by
    # 12,000, so the entry takes those that it prefers itself.
    far = [agent.instance for agent in agents if agent.zone != own.zone]
    return rank_members(own.instance, far)[:_MIN_AGENTS]


def _make_plain(agent: Instance) -> Candidate:
    return Candidate(agent.instance, agent.zone)


class Selector:
    """Holds the routing policy and the candidates of each deployment.

    Args:
        zone: Availability zone of the entry.
        clock: Source of time.
        source: Random numbers for the policies.
        count_entries: Returns the number of live entries.
    """

    def __init__(
        self, zone: ZoneId, clock: Clock, source: random.Random, count_entries
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._source = source
        self._count_entries = count_entries
        self._started_at = clock.now()
        self._policies: dict[str, Policy] = {}
        self._candidates: dict[str, tuple[Candidate, ...]] = {}
        self._names: dict[str, list[InstanceId]] = {}
        self._joined_at: dict[InstanceId, datetime] = {}

    def choose(
        self,
        pool: RelayPool,
        deployment: str,
        prefix: bytes,
        excluded: frozenset[InstanceId],
    ) -> Relay | None:
        """Returns the relay for an attempt, or None if there is none.

        Excluded replicas are chosen again only if no other one is usable.
        """
        relays = {
            relay.instance.instance: relay
            for relay in pool.list_deployment(deployment)
            if relay.is_usable
        }
        if not relays.keys() - excluded:
            excluded = frozenset()
        candidates = self._update_candidates(deployment, relays)
        request = RoutingRequest(prefix=prefix, excluded=excluded)
        policy = self._get_policy(deployment)
        chosen = policy.choose(request, candidates, self._clock.now())
        return None if chosen is None else relays[chosen]

    def begin(self, relay: Relay) -> None:
        """Counts an attempt at a replica."""
        policy = self._get_policy(relay.instance.deployment)
        policy.begin(relay.instance.instance, 1.0, self._clock.now())

    def end(self, relay: Relay, succeeded: bool | None) -> None:
        """Ends an attempt; succeeded is None if the replica is not to blame."""
        policy = self._get_policy(relay.instance.deployment)
        policy.end(relay.instance.instance, 1.0, self._clock.now(), succeeded)

    def observe_report(self, relay: Relay) -> None:
        """Takes a load report that arrived."""
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
        """Takes note of output that arrived."""
        policy = self._get_policy(relay.instance.deployment)
        policy.observe(Progress(relay.instance.instance, self._clock.now()))

    def _get_policy(self, deployment: str) -> Policy:
        policy = self._policies.get(deployment)
        if policy is None:
            entries = min(self._count_entries(), _MAX_DECIDING_ENTRIES)
            parameters = RoutingParameters(deciding_entries=entries)
            policy = make_balanced_policy(self._zone, parameters, self._source)
            self._policies[deployment] = policy
        return policy

    def _update_candidates(
        self, deployment: str, relays: dict[InstanceId, Relay]
    ) -> tuple[Candidate, ...]:
        names = list(relays)
        if self._names.get(deployment) != names:
            self._names[deployment] = names
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
        is_new = joined_at - self._started_at > _STARTUP
        return Candidate(
            instance,
            relay.instance.zone,
            joined_at=joined_at if is_new else None,
        )
