"""Look-up of the tenant that holds a key."""

from __future__ import annotations

from collections.abc import Iterable

from iristrack.configuration.model import Configuration, Tenant


class TenantTable:
    """The tenants of one configuration, indexed by key.

    Attributes:
        required: Whether the configuration holds tenants, so that requests need a key.
    """

    __slots__ = ("_tenants_by_key", "required")

    def __init__(self, configuration: Configuration) -> None:
        """Index the keys of a valid configuration."""
        self.required = configuration.tenants is not None
        self._tenants_by_key = {
            key: tenant for tenant in configuration.tenants or () for key in tenant.api_keys
        }

    def amended(self, removed: Iterable[Tenant], added: Iterable[Tenant], required: bool) -> TenantTable:
        """Return a table without the removed tenants' keys and with the added ones'; this one is not modified."""
        table = TenantTable.__new__(TenantTable)
        table.required = required
        table._tenants_by_key = dict(self._tenants_by_key)
        for tenant in removed:
            for key in tenant.api_keys:
                table._tenants_by_key.pop(key, None)
        for tenant in added:
            for key in tenant.api_keys:
                table._tenants_by_key[key] = tenant
        return table

    def holder(self, key: str) -> Tenant | None:
        """Return the tenant that holds the key, or None for an unknown key."""
        return self._tenants_by_key.get(key)
