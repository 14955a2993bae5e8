"""`iristrack system` and `iristrack check-system`: the operators' commands for the system of two programs.

This file owns their arguments, and turns every failure into one line and an exit code; the commands are in
`system_commands`, loaded when one is called.
"""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

from iristrack.cli.exit_codes import EXIT_DONE, EXIT_UNREADABLE

DEFAULT_TIMEOUT_S = 3.0
MOST_TIMEOUT_S = 600.0

EXIT_CODES = """\
exit codes:
  0  done; nothing to complain of, no difference
  1  findings (config check), differences (config diff), nothing that answers such a request (explain)
  2  a bad argument, or a file or folder that cannot be read or used
  3  no control plane gave a usable answer, or there is no configuration or roll-out yet
"""
CHECK_EXIT_CODES = """\
exit codes:
  0  all files are sound
  1  there are findings, one a line: FILE: PLACE: PROBLEM; REMEDY
  2  a file cannot be read, or holds no JSON object
"""


def add(commands: argparse._SubParsersAction) -> None:
    """Add both commands; nothing of the system is loaded yet."""
    _add_check(commands)
    system = commands.add_parser(
        "system",
        help="look at a running system, or at a control plane's disk",
        description="Look at a running system, or at a control plane's disk. Nothing is changed; API keys are hidden.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parts = system.add_subparsers(dest="system", required=True, metavar="COMMAND")
    source = _source_arguments()
    _add_part(parts, source, "status", "what one control plane knows: voting, members, topics, peers, duties")
    _add_part(parts, source, "members", "who votes, under which incarnation, and who is connected")
    _add_part(parts, source, "duties", "who holds which duty, under which fence")
    _add_part(parts, source, "versions", "the newest named revision of each model's weights")
    rollout = _add_part(parts, source, "rollout", "how the newest roll-out of a service stands")
    rollout.add_argument("service", metavar="SERVICE", help="its label in the configuration")
    _add_config(parts, source)
    _add_explain(parts, source)
    system.set_defaults(call=main)


def _add_check(commands: argparse._SubParsersAction) -> None:
    check = commands.add_parser(
        "check-system",
        help="check settings files and operator's configurations, start nothing",
        description="Check settings files of processes and operator's configurations, told apart by their fields.",
        epilog=CHECK_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    check.add_argument("files", metavar="FILE", type=Path, nargs="+")
    check.set_defaults(call=main)


def _source_arguments() -> argparse.ArgumentParser:
    shared = argparse.ArgumentParser(add_help=False)
    source = shared.add_mutually_exclusive_group(required=True)
    source.add_argument(
        "--control",
        metavar="HOST:PORT",
        action="append",
        type=_address,
        help="a control plane's `control_plane` address; several are tried in turn",
    )
    source.add_argument(
        "--data-dir",
        metavar="DIR",
        type=Path,
        help="a control plane's disk folder instead: only read, also while its process runs",
    )
    shared.add_argument("--json", action="store_true", help="for machines: one JSON document")
    shared.add_argument(
        "--timeout",
        metavar="SECONDS",
        type=_timeout,
        default=DEFAULT_TIMEOUT_S,
        help=f"for each control plane that is asked (default {DEFAULT_TIMEOUT_S:g})",
    )
    return shared


def _add_part(
    parts: argparse._SubParsersAction, source: argparse.ArgumentParser, name: str, said: str, **more: object
) -> argparse.ArgumentParser:
    return parts.add_parser(
        name,
        parents=[source],
        help=said,
        description=f"Show {said}." if not more else None,
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        **more,
    )


def _add_config(parts: argparse._SubParsersAction, source: argparse.ArgumentParser) -> None:
    config = parts.add_parser(
        "config", help="the newest configuration: show it, compare or check a file with it"
    )
    calls = config.add_subparsers(dest="config", required=True, metavar="COMMAND")
    show = _add_part(calls, source, "show", "the newest configuration, its keys hidden")
    show.add_argument("--summary", action="store_true", help="what it holds, in a few lines")
    diff = _add_part(calls, source, "diff", "what a file would add, remove and change")
    diff.add_argument("file", metavar="FILE", type=Path)
    check = _add_part(
        calls, source, "check", "a file's findings, and whether its revision would be taken now"
    )
    check.add_argument("file", metavar="FILE", type=Path)


def _add_explain(parts: argparse._SubParsersAction, source: argparse.ArgumentParser) -> None:
    explain = _add_part(
        parts, source, "explain", "which route, tenant, service and servers a request would get"
    )
    explain.add_argument("route", metavar="ROUTE_OR_HOST/PATH", help="a route's label, or a host and a path")
    explain.add_argument(
        "key",
        metavar="KEY",
        help="the prompt key: the ID of the last shared part, or a whole X-Iristrack-Prompt-Prefix",
    )
    explain.add_argument("--model", help="X-Iristrack-Model; default: the service's, where it has just one")
    tenant = explain.add_mutually_exclusive_group()
    tenant.add_argument("--tenant", metavar="LABEL", help="as a request of this tenant")
    tenant.add_argument(
        "--key-file",
        metavar="FILE",
        type=Path,
        help="as a request with the API key that stands in this file (a command line is no place for one)",
    )


def _address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not (host and separator and port.isascii() and port.isdecimal() and 0 < int(port) < 65_536):
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return text


def _timeout(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= MOST_TIMEOUT_S:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds up to {MOST_TIMEOUT_S:g}")
    return seconds


def main(chosen: argparse.Namespace) -> int:
    """Run it; the exit status."""
    try:
        from iristrack.cli import system_check, system_commands
        from iristrack.cli.system_sources import CommandFailed
    except ModuleNotFoundError as fault:
        _complain(f"{chosen.command} needs {fault.name}: pip install -r requirements-system.txt")
        return EXIT_UNREADABLE
    try:
        if chosen.command == "check-system":
            status = system_check.check_files(chosen.files)
        else:
            status = system_commands.run(chosen)
        sys.stdout.flush()
    except CommandFailed as failure:
        _complain(str(failure))
        return failure.status
    except BrokenPipeError:
        # The reader has what it wanted; the interpreter must not try to flush once more at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_DONE
    return status


def _complain(text: str) -> None:
    print(f"iristrack: {text}", file=sys.stderr)
