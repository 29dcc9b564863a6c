"""Finds the route of a request that is passed on as it is."""

from __future__ import annotations

import random

from ..config import Route
from ..errors import RequestError, UnknownResourceError


class RouteTable:
    """Routes by host and path prefix; the longest prefix of a path counts."""

    def __init__(self, routes: tuple[Route, ...]):
        self._routes = {(route.host.lower(), route.prefix): route for route in routes}

    def find(self, host: str, target: str) -> Route:
        """Return the route; raises ``UnknownResourceError`` or ``RequestError``.

        Every prefix begins and ends with a slash.
        """
        path = target.partition("?")[0]
        if not path.startswith("/"):
            raise RequestError("target is not a path", step="route", peer="caller")
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        raise UnknownResourceError("no route matches", step="route", peer="caller")


def pick_service(route: Route, rng: random.Random) -> str:
    """Return one of the services of a route, drawn by their weights."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [each.weight for each in services]
    return rng.choices(services, weights)[0].service
