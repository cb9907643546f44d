"""Starts the processes of a site on the loopback interface."""

import dataclasses
import hashlib
import json
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

from fleet import (
    HOST,
    Fleet,
    FleetError,
    TcpProxy,
    choose_ports,
    request_json,
    wait_for_http,
    wait_for_port,
)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteOptions:
    """Number and configuration of the processes of a site.

    Attributes:
        entries: Number of entries.
        engines: Number of simulated engines, each with an agent.
        services: Number of simulated services, each with an agent.
        zones: Availability zones to which agents and entries are assigned in
            turn.
        model: Model that the engines serve.
        engine_deployment: Deployment of the engines, also the model group.
        service_deployment: Deployment of the services.
        service: Service in the configuration.
        has_links: Whether TCP proxies are placed between entries and agents,
            between entries, and between daemons and the store.
        keeps_records: Whether engines and services write their records to
            files, so that the records are kept when the process is killed.
        engine_arguments: Additional arguments of each engine.
        ranks_per_engine: Number of ranks of each engine if all engines form
            one group that runs in lock-step; 0 if the engines are independent.
        service_arguments: Additional arguments of each service.
        entry_settings: Additional settings of each entry.
        agent_settings: Additional settings of each agent.
    """

    entries: int = 3
    engines: int = 3
    services: int = 1
    zones: tuple[str, ...] = ("toolroom", "press-hall", "front-office")
    model: str = "toolroom"
    engine_deployment: str = "toolroom-llm"
    service_deployment: str = "press-tablets"
    service: str = "tablets"
    has_links: bool = False
    keeps_records: bool = False
    engine_arguments: tuple[str, ...] = ()
    ranks_per_engine: int = 0
    service_arguments: tuple[str, ...] = ()
    entry_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    agent_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)


def make_intent(options: SiteOptions, token: str) -> dict[str, Any]:
    """Returns an intent that adds one account with access to the whole site."""
    account = {
        "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
        "requests_per_s": 500,
        "tokens_per_s": 2_000 * options.engines,
        "priority": "urgent",
        "groups": [options.engine_deployment],
        "services": [options.service],
    }
    group = {
        "models": [options.model],
        "version": "v1",
        "replicas": options.engines,
        "tokens_per_s": 2_500,
    }
    service = {
        "deployment": options.service_deployment,
        "non_repeatable_paths": ["/quotes"],
    }
    return {
        "accounts": {"add": {"shop-floor": account}},
        "groups": {"add": {options.engine_deployment: group}},
        "services": {"add": {options.service: service}},
    }


class Site:
    """Simulated servers, agents and entries of one site.

    Args:
        fleet: Starts the processes.
        folder: Folder for the settings files.
        options: Number and configuration of the processes.

    Attributes:
        addresses: Address of each process by name; for an entry, its caller
            address.
        instances: Fields of each registered instance by name.
        links: TCP proxies by name: the name of an agent for the connections
            of entries to it, `store-<daemon>` for the calls of a daemon to the
            store, `control-<entry>` for the connections of other entries.
    """

    def __init__(
        self, fleet: Fleet, folder: pathlib.Path, options: SiteOptions
    ) -> None:
        self.options = options
        self.addresses: dict[str, str] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self.links: dict[str, TcpProxy] = {}
        self._fleet = fleet
        self._folder = folder
        backend_count = options.engines + options.services
        self._ports = choose_ports(2 + 4 * backend_count + 4 * options.entries)

    @property
    def entries(self) -> list[str]:
        """Returns the caller addresses of the entries."""
        return self._select("entry-")

    @property
    def backends(self) -> list[str]:
        """Returns the addresses of the engines and services."""
        return self._select("engine-") + self._select("service-")

    async def start(self, limit_s: float = 20) -> None:
        """Starts all processes and waits until they accept connections."""
        for name in ("store", "instances"):
            self._start_simulator(name, name)
        await wait_for_http(self.addresses["store"], "/calls", limit_s)
        await wait_for_http(self.addresses["instances"], "/instances", limit_s)
        for number in range(1, self.options.engines + 1):
            arguments = ("--models", self.options.model)
            arguments += self.options.engine_arguments
            arguments += self._make_rank_arguments(number)
            self._start_backend(f"engine-{number}", "engine", *arguments)
        for number in range(1, self.options.services + 1):
            arguments = self.options.service_arguments
            self._start_backend(f"service-{number}", "service", *arguments)
        for name in [
            *self._list_names("engine-"),
            *self._list_names("service-"),
        ]:
            await wait_for_http(self.addresses[name], "/records", limit_s)
            await self._start_agent(name)
        for number in range(1, self.options.entries + 1):
            await self._start_entry(f"entry-{number}", number)
        for name in self._list_names("agent-"):
            await wait_for_port(self.addresses[name], limit_s)
        for address in self.entries:
            await wait_for_http(address, "/healthz", limit_s)

    def _make_rank_arguments(self, number: int) -> tuple[str, ...]:
        """Returns the arguments that assign ranks of the group to an engine."""
        ranks, engines = self.options.ranks_per_engine, self.options.engines
        if not ranks:
            return ()
        arguments = ("--ranks", str(ranks), "--members", str(engines))
        arguments += ("--first-rank", str((number - 1) * ranks))
        arguments += ("--total-ranks", str(engines * ranks))
        if number > 1:
            arguments += ("--leader", self.addresses["engine-1"])
        return arguments

    async def wait_until_ready(self, limit_s: float = 20) -> None:
        """Waits until every entry is ready."""
        for address in self.entries:
            await wait_for_http(address, "/readyz", limit_s)

    async def register(self, instance: Mapping[str, Any]) -> None:
        """Adds or replaces an instance in the instance list."""
        self.instances[instance["instance"]] = dict(instance)
        status, _ = await request_json(
            self.addresses["instances"], "/instances", "POST", dict(instance)
        )
        if status != 200:
            raise FleetError(
                f"the instance list responded with status {status}"
            )

    async def close(self) -> None:
        """Closes the TCP proxies; the fleet ends the processes."""
        for link in self.links.values():
            await link.close()

    def list_addresses(self, prefix: str) -> list[str]:
        """Returns the addresses of the processes whose name has a prefix."""
        return self._select(prefix)

    def _list_names(self, prefix: str) -> list[str]:
        return [name for name in self.addresses if name.startswith(prefix)]

    def _select(self, prefix: str) -> list[str]:
        return [self.addresses[name] for name in self._list_names(prefix)]

    def _allocate_address(self) -> str:
        return f"{HOST}:{self._ports.pop()}"

    def _start_backend(self, name: str, kind: str, *arguments: str) -> None:
        if self.options.keeps_records:
            path = self._folder / f"{name}.records"
            arguments += ("--record-file", str(path))
        self._start_simulator(name, kind, *arguments)

    def _start_simulator(self, name: str, kind: str, *arguments: str) -> None:
        address = self.addresses[name] = self._allocate_address()
        module = f"chicoryplank_standins.{kind}"
        self._fleet.start(name, module, "--listen", address, *arguments)

    async def _open_link(self, name: str, target: str) -> str:
        if not self.options.has_links:
            return target
        link = TcpProxy(self._ports.pop(), target)
        await link.start()
        self.links[name] = link
        return link.address

    async def _start_agent(self, backend: str) -> None:
        name = f"agent-{backend}"
        zones = self.options.zones
        zone = zones[len(self._list_names("agent-")) % len(zones)]
        is_engine = backend.startswith("engine-")
        deployment = (
            self.options.engine_deployment
            if is_engine
            else self.options.service_deployment
        )
        address = self.addresses[name] = self._allocate_address()
        store = await self._open_link(f"store-{name}", self.addresses["store"])
        settings = {
            "instance": name,
            "zone": zone,
            "deployment": deployment,
            "listen_address": address,
            "backend_address": self.addresses[backend],
            "store": {"address": store, "timeout_ms": 500},
            **self.options.agent_settings,
        }
        self._start_daemon(name, "chicoryplank-agent", (), settings)
        await self.register(
            {
                "instance": name,
                "role": "backend",
                "zone": zone,
                "address": await self._open_link(name, address),
                "deployment": deployment,
            }
        )

    async def _start_entry(self, name: str, number: int) -> None:
        zone = self.options.zones[number % len(self.options.zones)]
        caller_address = self.addresses[name] = self._allocate_address()
        control_address = self._allocate_address()
        store = await self._open_link(f"store-{name}", self.addresses["store"])
        settings = {
            "instance": name,
            "zone": zone,
            "caller_address": caller_address,
            "control_address": control_address,
            "store": {"address": store, "timeout_ms": 500},
            "instance_list": {
                "address": self.addresses["instances"],
                "poll_interval_ms": 1_000,
            },
            **self.options.entry_settings,
        }
        arguments = ("serve",)
        self._start_daemon(name, "chicoryplank", arguments, settings)
        await self.register(
            {
                "instance": name,
                "role": "entry",
                "zone": zone,
                "address": await self._open_link(
                    f"control-{name}", control_address
                ),
                "caller_address": caller_address,
            }
        )

    def _start_daemon(
        self,
        name: str,
        program: str,
        arguments: Iterable[str],
        settings: Mapping[str, Any],
    ) -> None:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self._fleet.start(name, program, *arguments, "--settings", str(path))
