"""Look-up of the route of a request by host and path."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from iristrack.configuration.model import Configuration, Route


def normalise_host(host: str) -> str:
    """Return a host in lower case and without its port."""
    host = host.strip().lower()
    if host.startswith("["):
        return host[: host.find("]") + 1]
    return host.partition(":")[0]


@dataclass(frozen=True, slots=True)
class _HostRoutes:
    by_prefix: dict[str, Route]
    longest: int

    @classmethod
    def of(cls, by_prefix: dict[str, Route]) -> _HostRoutes:
        """Index the routes of one host; there is at least one."""
        return cls(by_prefix, max(map(len, by_prefix)))

    def match(self, path: str) -> Route | None:
        """Look up the path's prefixes that end with a slash, the longest first."""
        end = path.rfind("/", 0, self.longest) + 1
        while end:
            route = self.by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


class RouteTable:
    """The routes of one configuration, indexed by host and prefix."""

    __slots__ = ("_hosts",)

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes of a valid configuration."""
        prefixes: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            prefixes[normalise_host(route.hostname)][route.path_prefix] = route
        self._hosts = {host: _HostRoutes.of(by_prefix) for host, by_prefix in prefixes.items()}

    def amended(self, removed: Iterable[Route], added: Iterable[Route]) -> RouteTable:
        """Return a table without the removed routes and with the added ones; this one is not modified.

        Only the hosts of these routes are re-indexed.
        """
        modified: dict[str, dict[str, Route]] = {}
        for route in removed:
            self._prefixes(modified, route).pop(route.path_prefix, None)
        for route in added:
            self._prefixes(modified, route)[route.path_prefix] = route
        table = RouteTable.__new__(RouteTable)
        table._hosts = dict(self._hosts)
        for host, by_prefix in modified.items():
            if by_prefix:
                table._hosts[host] = _HostRoutes.of(by_prefix)
            else:
                table._hosts.pop(host, None)
        return table

    def _prefixes(self, modified: dict[str, dict[str, Route]], route: Route) -> dict[str, Route]:
        """Return the copy of a host's prefixes that is being modified, made on first use."""
        host = normalise_host(route.hostname)
        if host not in modified:
            current = self._hosts.get(host)
            modified[host] = {} if current is None else dict(current.by_prefix)
        return modified[host]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path.

        The host may include a port and the path a query string; both are ignored.
        """
        routes = self._hosts.get(normalise_host(host))
        if routes is None:
            return None
        return routes.match(path.partition("?")[0])
