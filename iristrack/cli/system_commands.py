"""The commands below `iristrack system`: each reads its source, makes a typed result and prints it."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from iristrack.cli.exit_codes import EXIT_DONE, EXIT_FOUND, EXIT_NO_ANSWER, EXIT_UNREADABLE
from iristrack.cli.system_check import Unreadable, read_body
from iristrack.cli.system_config import Comparison, ConfigurationSummary, compare, masked_document, summarise
from iristrack.cli.system_explain import Asker, Explanation, Unexplained, explain
from iristrack.cli.system_sources import CommandFailed, ControlSource, DiskSource, Source, Told
from iristrack.cli.system_tables import one_line, print_pairs, print_table
from iristrack.configuration.document import check_successor, read_configuration
from iristrack.configuration.findings import Finding
from iristrack.configuration.model import Configuration
from iristrack.controlplane.status import DutyStatus, MemberStatus, SystemStatus

NO_CONFIGURATION = "there is no configuration yet"


def run(chosen: argparse.Namespace) -> int:
    """Carry out a command; the exit status. Raises `CommandFailed`."""
    source = _source(chosen)
    if chosen.system == "config":
        return {"show": _config_show, "diff": _config_diff, "check": _config_check}[chosen.config](
            chosen, source
        )
    if chosen.system == "explain":
        return _explain(chosen, source)
    if chosen.system == "rollout":
        return _rollout(chosen, source)
    print_status = {
        "status": _print_status,
        "members": _print_members,
        "duties": _print_duties,
        "versions": _print_versions,
    }
    return _show(chosen, source.status(), print_status[chosen.system])


def _rollout(chosen: argparse.Namespace, source: Source) -> int:
    found = source.rollout(chosen.service)
    if found is None:
        raise CommandFailed(f"no roll-out of {one_line(chosen.service)} was ever ordered", EXIT_NO_ANSWER)
    if chosen.json:
        _print_json(asdict(found))
    else:
        print_pairs(asdict(found).items())
    return EXIT_DONE


def _source(chosen: argparse.Namespace) -> Source:
    if chosen.data_dir is not None:
        return DiskSource(chosen.data_dir, EXIT_UNREADABLE)
    return ControlSource(chosen.control, chosen.timeout, EXIT_NO_ANSWER)


def _print_json(document: object) -> None:
    print(json.dumps(document, indent=2))


# ---- status, members, duties, versions

PARTS = {  # what `--json` gives of the status
    "status": None,
    "members": ("node", "voting", "in_quorum", "joining", "incarnation", "members"),
    "duties": ("list_poller", "duties"),
    "versions": ("versions",),
}


def _show(chosen: argparse.Namespace, told: Told, print_part: Callable[[SystemStatus], None]) -> int:
    if chosen.json:
        names = PARTS[chosen.system]
        document = asdict(told.status)
        if names is None:
            document.pop("servers")
        else:
            document = {name: document[name] for name in names}
        _print_json({"origin": told.origin, "notes": told.notes, **document})
        return EXIT_DONE
    print(f"# {one_line(told.origin)}")
    for note in told.notes:
        print(f"# {one_line(note)}")
    print_part(told.status)
    return EXIT_DONE


def _print_status(status: SystemStatus) -> None:
    configuration = "none yet"
    if status.configuration is not None:
        configuration = f"revision {status.configuration.revision}, digest {status.configuration.digest}"
    others = [member for member in status.members if not member.here and member.connected is not None]
    connected = sum(bool(member.connected) for member in others)
    members = f"{len(status.members)}"
    if others:
        members += f"; connected to {connected} of {len(others)} others"
    pairs = [
        ("node", status.node),
        ("zone", status.zone),
        ("inner address", status.address),
        ("voting", status.voting),
        ("members agreed", status.founded),
        ("in a quorum", status.in_quorum),
        ("incarnation", status.incarnation),
        ("members", members),
        ("configuration", configuration),
        ("list is fetched by", _member_name(status, status.list_poller)),
        *((f"duty {duty.duty}", _holder(duty)) for duty in status.duties),
    ]
    print_pairs((name, value) for name, value in pairs if value != "")
    print()
    print_table(("topic", "sequence"), [(topic.topic, topic.sequence) for topic in status.topics])
    print()
    _print_member_rows(status.members)
    if not status.process:  # a disk knows no peers
        return
    print()
    print_table(
        ("peer", "role", "zone", "address", "follows", "silent ms"),
        [
            (p.node, p.role, p.zone, p.address, _follows(p.subscribed, p.pushed), p.silent_ms)
            for p in status.peers
        ],
    )


def _follows(subscribed: bool, pushed: bool) -> str:
    if not subscribed:
        return ""
    return "told at once" if pushed else "told by heartbeats"


def _member_name(status: SystemStatus, address: str) -> str:
    """A member's address with its node, where that is known."""
    node = next((m.node for m in status.members if m.address == address), "")
    return f"{address} ({node})" if node else address


def _holder(duty: DutyStatus) -> str:
    if not duty.owner:
        return "nobody: never taken"
    return f"{duty.owner}, fence {duty.fence}"


def _print_members(status: SystemStatus) -> None:
    lost, bearable = _losses(status)
    print_pairs(
        [
            ("voting here", status.voting),
            ("incarnation here", status.incarnation),
            ("in a quorum here", status.in_quorum),
            ("joining", f"{status.joining}, which does not vote yet" if status.joining else "nobody"),
            ("leaving", f"{status.leaving}, until that is settled" if status.leaving else "nobody"),
            ("losses", f"{lost} seen from here, {bearable} bearable in all"),
        ]
    )
    print()
    _print_member_rows(status.members)


def _losses(status: SystemStatus) -> tuple[int, int]:
    """How many members cannot vote, as seen from here, and how many a set of this size bears."""
    lost = [m for m in status.members if m.connected is False or m.address == status.joining]
    return len(lost), max(0, (len(status.members) - 1) // 2)


def _print_member_rows(members: tuple[MemberStatus, ...]) -> None:
    print_table(
        ("member", "node", "incarnation", "connected"),
        [(m.address, m.node, m.incarnation, "here" if m.here else m.connected) for m in members],
    )


def _print_duties(status: SystemStatus) -> None:
    print_table(
        ("duty", "holder", "process", "fence", "renewals", "may act here for ms"),
        [(d.duty, d.owner, d.process, d.fence, d.renewals, d.act_ms) for d in status.duties],
    )
    if status.list_poller:
        print()
        print_pairs([("list is fetched by", _member_name(status, status.list_poller))])


def _print_versions(status: SystemStatus) -> None:
    print_table(("model", "newest named revision"), [(v.model, v.revision) for v in status.versions])


# ---- the configuration


def _running_body(source: Source) -> bytes:
    body = source.configuration()
    if body is None:
        raise CommandFailed(NO_CONFIGURATION, EXIT_NO_ANSWER)
    return body


def _parse_running(body: bytes) -> Configuration:
    result = read_configuration(body)
    if result.is_error():
        raise CommandFailed(
            f"the running configuration cannot be read here: {result.error[0]}", EXIT_NO_ANSWER
        )
    return result.ok


def _read_file(file: Path) -> bytes:
    try:
        return read_body(file)
    except Unreadable as fault:
        raise CommandFailed(f"{file}: {one_line(str(fault))}", EXIT_UNREADABLE) from fault


def _print_findings(file: Path, findings: tuple[Finding, ...], to=None) -> None:
    for finding in findings:
        print(one_line(f"{file}: {finding}"), file=to)


def _config_show(chosen: argparse.Namespace, source: Source) -> int:
    body = _running_body(source)
    if not chosen.summary:
        _print_json(masked_document(body))
        return EXIT_DONE
    summary = summarise(_parse_running(body))
    if chosen.json:
        _print_json(asdict(summary))
    else:
        _print_summary(summary)
    return EXIT_DONE


def _print_summary(summary: ConfigurationSummary) -> None:
    kinds = ", ".join(f"{count} {kind}" for kind, count in summary.routes_by_kind.items())
    print_pairs(
        [
            ("revision", summary.revision),
            ("digest", summary.digest),
            ("routes", f"{summary.routes} on {summary.hosts} hosts ({kinds or 'none'})"),
            ("limits", ", ".join(f"{name} {value:g}" for name, value in asdict(summary.limits).items())),
            ("keys", "not needed" if summary.tenants is None else "needed, except on public routes"),
        ]
    )
    print()
    print_table(
        ("service", "kind", "routes", "models"),
        [(s.label, s.kind, s.routes, ", ".join(s.models)) for s in summary.services],
    )
    if summary.tenants is not None:
        print()
        print_table(
            ("tenant", "keys", "priority", "isolated"),
            [(t.label, t.keys, t.priority, t.isolated) for t in summary.tenants],
        )


def _config_diff(chosen: argparse.Namespace, source: Source) -> int:
    result = read_configuration(_read_file(chosen.file))
    if result.is_error():
        _print_findings(chosen.file, result.error, sys.stderr)
        raise CommandFailed(f"{chosen.file}: no valid configuration, so nothing to compare", EXIT_UNREADABLE)
    comparison = compare(_parse_running(_running_body(source)), result.ok)
    if chosen.json:
        _print_json(asdict(comparison))
    else:
        _print_comparison(comparison)
    return EXIT_FOUND if comparison.differences else EXIT_DONE


def _print_comparison(comparison: Comparison) -> None:
    print(f"# running: revision {comparison.running_revision}; file: revision {comparison.file_revision}")
    signs = {"added": "+", "removed": "-", "changed": "~"}
    for difference in comparison.differences:
        print(one_line(f"{signs[difference.change]} {difference.part} {difference.name}".rstrip()))
        for detail in difference.details:
            print(one_line(f"    {detail}"))
    if not comparison.differences:
        print("no difference apart from the revision")


def _config_check(chosen: argparse.Namespace, source: Source) -> int:
    result = read_configuration(_read_file(chosen.file))
    if result.is_error():
        return _print_check(chosen, result.error, None, "")
    proposed = result.ok
    try:
        body = source.configuration()
    except CommandFailed:
        if not chosen.json:
            print(
                f"{chosen.file}: sound by itself; whether it would be taken now is not known", file=sys.stderr
            )
        raise
    running = None if body is None else _parse_running(body)
    base = 0 if running is None else running.revision
    if running is not None and (running.revision, running.digest) == (proposed.revision, proposed.digest):
        return _print_check(chosen, (), base, f"revision {base} is in force already, to the byte")
    findings = check_successor(running, proposed)
    verdict = f"sound; revision {proposed.revision} would be taken now with X-Iristrack-Base-Version: {base}"
    return _print_check(chosen, findings, base, verdict)


def _print_check(
    chosen: argparse.Namespace, findings: tuple[Finding, ...], base: int | None, verdict: str
) -> int:
    if chosen.json:
        rows = [asdict(finding) for finding in findings]
        _print_json({"findings": rows, "running_revision": base, "verdict": "" if findings else verdict})
    elif findings:
        _print_findings(chosen.file, findings)
    else:
        print(one_line(f"{chosen.file}: {verdict}"))
    return EXIT_FOUND if findings else EXIT_DONE


# ---- explain


def _explain(chosen: argparse.Namespace, source: Source) -> int:
    found = _parse_running(_running_body(source))
    told = source.status(with_servers=True)
    api_key = None if chosen.key_file is None else _read_file(chosen.key_file).decode("latin-1").strip()
    try:
        explanation = explain(
            found,
            told.status.servers,
            told.status.versions,
            chosen.route,
            chosen.key,
            Asker(chosen.tenant, api_key),
            chosen.model,
        )
    except Unexplained as reason:
        raise CommandFailed(one_line(str(reason)), EXIT_FOUND) from reason
    if chosen.json:
        _print_json({"origin": told.origin, "notes": told.notes, **asdict(explanation)})
    else:
        _print_explanation(explanation, told)
    return EXIT_DONE


def _print_explanation(found: Explanation, told: Told) -> None:
    print(f"# {one_line(told.origin)}; configuration {found.revision}")
    for note in told.notes:
        print(f"# {one_line(note)}")
    passed_over = (
        f"; the longest prefix wins over {', '.join(found.passed_over)}" if found.passed_over else ""
    )
    tenant = f"{found.tenant}: {found.tenant_rule}" if found.tenant else found.tenant_rule
    print_pairs(
        [
            ("route", f"{found.route} ({found.host}{found.path_prefix}){passed_over}"),
            ("kind", f"{found.kind}, at most {found.max_tries} servers, {found.timeout_ms:g} ms"),
            ("tenant", tenant),
            ("priority", found.priority),
            ("prompt key", found.key),
        ]
    )
    for service in found.services:
        print()
        model = f", model {service.model}" if service.model else ""
        print(one_line(f"service {service.label}: {service.percent:.4g} % of the route's requests{model}"))
        if service.servers is None:
            print("(the platform's list of servers is not known here)")
            continue
        print_table(
            ("place", "server", "address", "zone", "phase", "weights", "why"),
            [(s.place, s.instance, s.address, s.zone, s.phase, s.revision, s.why) for s in service.servers],
        )
