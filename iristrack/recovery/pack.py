"""Conversion of a snapshot to records for a store and back: one record per server and per class.

This file owns the kinds of records. Unknown kinds are ignored, so that a later version can add some. A later record
replaces an earlier one of the same name, so that a journal holds complete entries that have changed.

    meta     {at: Unix time in ns, name: sidecar, writer: version}
    balancer {name: number}                    tenants {name: recent requests}       popular {key: recent requests}
    class    [name, {field: number}]           server  [id, result of `records.export_server`]      gone  id
"""

from __future__ import annotations

from typing import Any

Record = tuple[str, Any]
SINGLE_RECORD_KINDS = ("balancer", "tenants", "popular")
MAX_KEYS = 512


def pack(snapshot: dict, at_ns: int, name: str, writer: str) -> list[Record]:
    """Convert a snapshot to records, in an order that depends on names alone."""
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
    """Return the records to append to `old` so that it describes the same snapshot as `new`."""
    before, after = _by_kind_and_name(old), _by_kind_and_name(new)
    changed = [(key[0], body) for key, body in after.items() if before.get(key) != body]
    changed += [("gone", key[1]) for key in before if key[0] == "server" and key not in after]
    return changed


def _by_kind_and_name(records: list[Record]) -> dict[tuple[str, str], Any]:
    return {(kind, body[0] if kind in ("class", "server") else ""): body for kind, body in records}


def unpack(records: list[Record]) -> tuple[dict, dict] | None:
    """Return the snapshot and its `meta` as of the last record, None without one; raise ValueError if malformed."""
    meta: dict | None = None
    snapshot: dict[str, Any] = {"balancer": {}, "tenants": {}, "popular": {}, "classes": {}, "servers": {}}
    for kind, body in records:
        try:
            if kind == "meta":
                meta = {"at": int(body["at"]), "name": str(body["name"]), "writer": str(body["writer"])}
            elif kind in SINGLE_RECORD_KINDS:
                snapshot[kind] = dict(body)
            elif kind in ("class", "server"):
                name, values = body
                snapshot["classes" if kind == "class" else "servers"][str(name)] = dict(values)
            elif kind == "gone":
                snapshot["servers"].pop(str(body), None)
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"a record of kind {kind!r} cannot be read: {error}") from None
    return None if meta is None else (snapshot, meta)
