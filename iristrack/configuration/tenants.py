"""Look-up of the tenant that holds a key."""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.configuration.model import Configuration, Tenant


class TenantTable:
    """The tenants of one configuration, indexed by key.

    Attributes:
        required: Whether the configuration holds tenants, so that requests need a key.
    """

    __slots__ = ("_holders", "required")

    def __init__(self, configuration: Configuration) -> None:
        """Index the keys of a valid configuration."""
        self.required = configuration.tenants is not None
        self._holders = {key: tenant for tenant in configuration.tenants or () for key in tenant.api_keys}

    def amended(self, dropped: Iterable[Tenant], added: Iterable[Tenant], required: bool) -> TenantTable:
        """Return a table without the dropped tenants' keys and with the added ones'; this one stays as it is."""
        table = TenantTable.__new__(TenantTable)
        table.required = required
        table._holders = dict(self._holders)
        for tenant in dropped:
            for key in tenant.api_keys:
                table._holders.pop(key, None)
        for tenant in added:
            for key in tenant.api_keys:
                table._holders[key] = tenant
        return table

    def holder(self, key: str) -> Tenant | None:
        """Return the tenant that holds the key, or None for an unknown key."""
        return self._holders.get(key)
