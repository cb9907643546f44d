"""Route lookup by host and path, and weighted choice of a service."""

import random

from chicoryplank.ids import ServiceId
from chicoryplank.traffic._model import Route, TrafficConfiguration


class RouteIndex:
    """Index that finds the route of a request.

    Args:
        configuration: Configuration that contains the routes.

    Example:
        >>> from datetime import timedelta
        >>> from chicoryplank.ids import ConfigVersion
        >>> from chicoryplank.traffic import RequestKind, Share
        >>> route = Route(
        ...     "notes", "shop.example", "/notes/", RequestKind.IDEMPOTENT,
        ...     (Share(ServiceId("llm"), 1.0),), timedelta(seconds=1),
        ...     timedelta(seconds=1),
        ... )
        >>> configuration = TrafficConfiguration(
        ...     ConfigVersion(1), (route,), {}
        ... )
        >>> index = RouteIndex(configuration)
        >>> index.find("shop.example", "/notes/1").name
        'notes'
    """

    def __init__(self, configuration: TrafficConfiguration) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host of the request, with or without a port.
            path: Path of the request, with or without a query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            if end <= 0:
                return None
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1
        return None


def choose_service(route: Route, rng: random.Random) -> ServiceId:
    """Returns one of the services of a route, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
