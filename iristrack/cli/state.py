"""`iristrack state`: look into a folder of learned state, check it, carry it over.

This file owns the sub-command's arguments and output. Exit codes: 0 sound, 1 damaged but readable in part, 2 nothing to
read or a bad argument, 3 the folder is in use.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path


def add(commands: argparse._SubParsersAction) -> None:
    """Add the sub-command; nothing of the store is loaded yet."""
    state = commands.add_parser("state", help="learned state on disk (needs the extra `state`)")
    parts = state.add_subparsers(dest="state", required=True)
    for name, said in (
        ("inspect", "show what a folder's newest usable generation says"),
        ("verify", "check every file of a folder, to the byte"),
        ("export", "print it as JSON"),
        ("compact", "write a checkpoint of what is there, in place of checkpoint and journal"),
    ):
        parts.add_parser(name, help=said).add_argument("folder", type=Path)
    importing = parts.add_parser("import", help="write what `export` printed into a folder")
    importing.add_argument("folder", type=Path)
    importing.add_argument("file", type=Path, help="the JSON file")
    state.set_defaults(call=main)


def main(chosen: argparse.Namespace) -> int:
    """Run it; the exit status."""
    try:
        from iristrack.store.state_store import StateFolderBusy
    except ModuleNotFoundError as fault:
        print(f"iristrack: state needs {fault.name}: pip install -r requirements-state.txt", file=sys.stderr)
        return 2
    if chosen.state != "import" and not chosen.folder.is_dir():
        print(f"iristrack: {chosen.folder} is no folder", file=sys.stderr)
        return 2
    calls = {
        "inspect": _inspect,
        "verify": _verify,
        "export": _export,
        "import": _import,
        "compact": _compact,
    }
    try:
        return calls[chosen.state](chosen)
    except StateFolderBusy as fault:
        print(f"iristrack: {fault}", file=sys.stderr)
        return 3


def _complain(text: str) -> None:
    print(f"iristrack: {text}", file=sys.stderr)


def _files(folder: Path) -> list[tuple[Path, object]]:
    """Each state file of a folder, read; nothing is locked, moved or removed."""
    from iristrack.store import state_format as fmt
    from iristrack.store.state_store import FILE_NAME_PATTERN

    found = []
    for path in sorted(folder.iterdir(), key=lambda p: (p.suffix.lstrip(".").zfill(20), p.name)):
        if FILE_NAME_PATTERN.match(path.name) or path.name.startswith("newer."):
            with path.open("rb") as file:
                found.append((path, fmt.read(file.read(fmt.MAX_FILE_BYTES + 1))))
    return found


def _load(folder: Path) -> tuple[dict, dict, bool] | None:
    """The newest usable snapshot, its meta, and whether all that was written is in it."""
    from iristrack.recovery.pack import unpack
    from iristrack.store.state_format import Verdict

    read = {path.name: result for path, result in _files(folder)}
    generations = sorted((int(n.split(".")[1]) for n in read if n.startswith("checkpoint.")), reverse=True)
    for newest in generations:
        checkpoint = read[f"checkpoint.{newest}"]
        if checkpoint.verdict is not Verdict.COMPLETE:
            _complain(f"checkpoint.{newest}: {checkpoint.why}; it ends at byte {checkpoint.end}")
            continue
        journal = read.get(f"journal.{newest}")
        sound = newest == generations[0]
        records = list(checkpoint.records)
        if journal is not None:
            records += journal.records
            if journal.why and "without its end record" not in journal.why:
                _complain(f"journal.{newest}: {journal.why}; {len(journal.records)} records are saved")
                sound = False
        try:
            found = unpack(records)
        except ValueError as fault:
            _complain(f"checkpoint.{newest}: {fault}")
            continue
        if found is not None:
            return *found, sound
    _complain(f"{folder} holds no state that can be read")
    return None


def _inspect(chosen: argparse.Namespace) -> int:
    loaded = _load(chosen.folder)
    if loaded is None:
        return 2
    snapshot, meta, sound = loaded
    print(f"of {meta['name']}, written by {meta['writer']} at {meta['at'] / 1e9:.3f} (Unix time)")
    print(
        ", ".join(f"{name} {value:.4g}" for name, value in snapshot["balancer"].items() if value is not None)
    )
    print(f"{'server':32} {'limit':>7} {'down':>5} {'errors':>7}  out for")
    for name, server in sorted(snapshot["servers"].items()):
        held = server["suspicions"]
        errors = sum(s[1] for s in held.values())
        out = ", ".join(f"{of or 'all'} {s[3] / 1e9:.1f} s" for of, s in held.items() if s[0])
        print(f"{name:32} {server['limit']:7.2f} {'yes' if server['down'] else '':>5} {errors:7.2f}  {out}")
    print(f"{'class':32} {'mean ms':>9} {'spread':>8} {'base':>8} {'errors':>8}")
    for name, cls in sorted(snapshot["classes"].items()):
        mean, spread, base = (cls[field] / 1e6 for field in ("mean", "dev", "base"))
        print(f"{name:32} {mean:9.1f} {spread:8.1f} {base:8.1f} {cls['faulty']:8.3f}")
    return 0 if sound else 1


def _verify(chosen: argparse.Namespace) -> int:
    from iristrack.store.state_format import Verdict

    files = _files(chosen.folder)
    if not files:
        _complain(f"{chosen.folder} holds no state files")
        return 2
    damaged = 0
    for path, read in files:
        open_end = path.name.startswith("journal.") and "without its end record" in read.why
        good = read.verdict is Verdict.COMPLETE or open_end
        damaged += not good and read.verdict is not Verdict.NEWER
        told = "sound" if good else f"{read.verdict.value}: {read.why}"
        size = path.stat().st_size
        print(f"{path.name:24} format {read.format} by {read.writer or '?'}: {len(read.records)} records,"
              f" {read.end} of {size} bytes, {told}")  # fmt: skip
    return 1 if damaged else 0


def _export(chosen: argparse.Namespace) -> int:
    loaded = _load(chosen.folder)
    if loaded is None:
        return 2
    snapshot, meta, sound = loaded
    print(json.dumps({"meta": meta, "snapshot": snapshot}, indent=1, sort_keys=True))
    return 0 if sound else 1


def _import(chosen: argparse.Namespace) -> int:
    from iristrack.recovery.pack import pack, unpack

    try:
        told = json.loads(chosen.file.read_text())
        meta = told["meta"]
        records = pack(told["snapshot"], int(meta["at"]), str(meta["name"]), str(meta["writer"]))
        unpack(records)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as fault:
        _complain(f"{chosen.file}: no export: {type(fault).__name__}: {fault}")
        return 2
    return _write(chosen.folder, records)


def _compact(chosen: argparse.Namespace) -> int:
    from iristrack.recovery.pack import pack

    loaded = _load(chosen.folder)
    if loaded is None:
        return 2
    snapshot, meta, _ = loaded
    return _write(chosen.folder, pack(snapshot, meta["at"], meta["name"], meta["writer"]))


def _write(folder: Path, records: list) -> int:
    from iristrack import __version__
    from iristrack.store.state_store import StateStore

    store = StateStore(str(folder), __version__, _complain)
    store.open()
    done = store.checkpoint(records)
    store.close()
    return 0 if done else 2
