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
        """Probe the path's prefixes that end with a slash, the longest first."""
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

    def amended(self, dropped: Iterable[Route], added: Iterable[Route]) -> RouteTable:
        """Return a table without the dropped routes and with the added ones; this one stays as it is.

        Only the hosts of these routes are indexed anew.
        """
        touched: dict[str, dict[str, Route]] = {}
        for route in dropped:
            self._prefixes(touched, route).pop(route.path_prefix, None)
        for route in added:
            self._prefixes(touched, route)[route.path_prefix] = route
        table = RouteTable.__new__(RouteTable)
        table._hosts = dict(self._hosts)
        for host, by_prefix in touched.items():
            if by_prefix:
                table._hosts[host] = _HostRoutes.of(by_prefix)
            else:
                table._hosts.pop(host, None)
        return table

    def _prefixes(self, touched: dict[str, dict[str, Route]], route: Route) -> dict[str, Route]:
        """Return the copy of a host's prefixes that is being altered, made at its first use."""
        host = normalise_host(route.hostname)
        if host not in touched:
            standing = self._hosts.get(host)
            touched[host] = {} if standing is None else dict(standing.by_prefix)
        return touched[host]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host whose prefix begins the path and is longest.

        The host may carry a port and the path a query string; neither takes part.
        """
        routes = self._hosts.get(normalise_host(host))
        if routes is None:
            return None
        return routes.match(path.partition("?")[0])
