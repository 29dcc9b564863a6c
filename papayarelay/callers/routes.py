"""Route lookup for proxied requests."""

from __future__ import annotations

import random

from ..config import Route
from ..errors import RequestError, UnknownResourceError


class RouteTable:
    """Matches requests by host and longest path prefix."""

    def __init__(self, routes: tuple[Route, ...]):
        self._routes = {(route.host.lower(), route.prefix): route for route in routes}

    def find(self, host: str, target: str) -> Route:
        """Return the matching route.

        Route prefixes start and end with a slash.  Raises ``RequestError`` if the
        target is not an absolute path, ``UnknownResourceError`` if no route matches.
        """
        path = target.partition("?")[0]
        if not path.startswith("/"):
            raise RequestError(
                "request target is not an absolute path", step="route", peer="caller"
            )
        name = host.partition(":")[0].lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        raise UnknownResourceError(
            "no route matches the host and path", step="route", peer="caller"
        )


def pick_service(route: Route, rng: random.Random) -> str:
    """Choose one of the services of a route at random by weight."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    weights = [each.weight for each in services]
    return rng.choices(services, weights)[0].service
