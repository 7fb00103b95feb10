"""Lookup of a request's route, and weighted choice of its service."""

from __future__ import annotations

import collections

from azureramp import catalog

MAX_BALANCES = 4096
"""Maximum number of split routes with kept balances; each change of a route's
weights adds one."""


class RoutingTable:
    """The routing table of one configuration.

    Prefixes end with a slash, so a lookup shortens the path slash by slash from
    its end until a prefix matches, beginning at the length of the host's
    longest prefix. The number of steps depends neither on the number of routes
    nor on the length of the path.
    """

    __slots__ = ("_by_host", "_longest")

    def __init__(self, configuration: catalog.Configuration) -> None:
        """Builds the table from a configuration."""
        self._by_host: dict[str, dict[str, catalog.Route]] = {}
        for route in configuration.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route
        self._longest = {
            host: max(map(len, by_prefix))
            for host, by_prefix in self._by_host.items()
        }

    def find(self, host: str, path: str) -> catalog.Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: The requested host, in lower case and without a port.
            path: The path as sent, without its query.

        Returns:
            The route; None if no route matches.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/", 0, self._longest[host])
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes a route's requests over its services by their weights.

    It uses smooth weighted round robin: each VM's own sequence deviates from
    the weights by at most one request, while a random choice would deviate by
    several percent over a few hundred requests.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        """Creates a splitter with empty balances."""
        self._credits: dict[
            tuple[str, tuple[catalog.WeightedService, ...]], dict[str, float]
        ] = collections.defaultdict(dict)

    def choose(
        self, route: str, choices: tuple[catalog.WeightedService, ...]
    ) -> str:
        """Returns the service of a route's next request."""
        if len(choices) == 1:
            return choices[0].service
        if len(self._credits) > MAX_BALANCES:
            self._credits.clear()
        balance = self._credits[route, choices]
        total = sum(choice.weight for choice in choices)
        best = choices[0].service
        best_credit = float("-inf")
        for choice in choices:
            credit = balance.get(choice.service, 0.0) + choice.weight
            balance[choice.service] = credit
            if choice.weight > 0 and credit > best_credit:
                best, best_credit = choice.service, credit
        balance[best] -= total
        return best
