"""Which route a request takes, and which part of a split route."""

from __future__ import annotations

import collections

from azureramp import catalog

MOST_SPLITS = 4096
"""Most split routes that balances are kept for; changed weights add more."""


class Table:
    """The routes of one configuration, to look requests up in.

    Prefixes end with a slash, so the path is cut at its slashes from the end
    until a prefix fits: as many steps as the path has parts, however many
    routes there are.
    """

    __slots__ = ("_by_host",)

    def __init__(self, configuration: catalog.Configuration) -> None:
        """Makes the table of a configuration."""
        self._by_host: dict[str, dict[str, catalog.Route]] = {}
        for route in configuration.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host: str, path: str) -> catalog.Route | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
            host: The host that the caller named, lower case, without a port.
            path: The path, without its query, as sent.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class Splitter:
    """Distributes a route's requests over its services by their weights.

    Smooth weighted round robin: each VM's own sequence keeps to the weights
    to within one request, where random choice would be off by several in a
    hundred over a few hundred requests.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        """Makes a splitter with no requests behind it."""
        self._credits: dict[
            tuple[str, tuple[catalog.Weighted, ...]], dict[str, float]
        ] = collections.defaultdict(dict)

    def choose(self, route: str, choices: tuple[catalog.Weighted, ...]) -> str:
        """Returns the service of a route's next request."""
        if len(choices) == 1:
            return choices[0].service
        if len(self._credits) > MOST_SPLITS:
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
