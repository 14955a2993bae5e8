"""A snapshot as records for a store, and back: one record a server, a class, a tenant.

This file owns the records' kinds. Unknown kinds are passed over, so that a later version may add some; a later record
of the same name replaces an earlier one, so that a journal holds whole entries that changed.

    meta     {at: Unix time in ns, name: the sidecar's, writer: its version}
    balancer {name: number}                    tenants {name: recent requests}       popular {key: recent requests}
    class    [name, {field: number}]           server  [id, what `records.learned_of` tells]      gone  id
"""

from __future__ import annotations

from typing import Any

Record = tuple[str, Any]
WHOLE_PARTS = ("balancer", "tenants", "popular")
MAX_KEYS = 512


def pack(snapshot: dict, at_ns: int, name: str, writer: str) -> list[Record]:
    """A whole snapshot as records, in an order that depends on names alone."""
    records: list[Record] = [("meta", {"at": at_ns, "name": name, "writer": writer})]
    popular = sorted(snapshot["popular"].items(), key=lambda item: (-item[1], item[0]))[:MAX_KEYS]
    records += [
        ("balancer", snapshot["balancer"]),
        ("tenants", snapshot["tenants"]),
        ("popular", dict(popular)),
    ]
    records += [("class", [cls, snapshot["classes"][cls]]) for cls in sorted(snapshot["classes"])]
    records += [("server", [server, snapshot["servers"][server]]) for server in sorted(snapshot["servers"])]
    return records


def changes(old: list[Record], new: list[Record]) -> list[Record]:
    """What must be appended behind `old` for it to say what `new` says."""
    before, after = _named(old), _named(new)
    found = [(key[0], body) for key, body in after.items() if before.get(key) != body]
    found += [("gone", key[1]) for key in before if key[0] == "server" and key not in after]
    return found


def _named(records: list[Record]) -> dict[tuple[str, str], Any]:
    return {(kind, body[0] if kind in ("class", "server") else ""): body for kind, body in records}


def unpack(records: list[Record]) -> tuple[dict, dict] | None:
    """The snapshot and its `meta`, as of the last record; None where there is none. Raises ValueError."""
    meta: dict | None = None
    found: dict[str, Any] = {"balancer": {}, "tenants": {}, "popular": {}, "classes": {}, "servers": {}}
    for kind, body in records:
        try:
            if kind == "meta":
                meta = {"at": int(body["at"]), "name": str(body["name"]), "writer": str(body["writer"])}
            elif kind in WHOLE_PARTS:
                found[kind] = dict(body)
            elif kind in ("class", "server"):
                name, values = body
                found["classes" if kind == "class" else "servers"][str(name)] = dict(values)
            elif kind == "gone":
                found["servers"].pop(str(body), None)
        except (KeyError, TypeError, ValueError) as fault:
            raise ValueError(f"a record of kind {kind!r} cannot be read: {fault}") from None
    return None if meta is None else (found, meta)
