"""The settings file of a system process, its log and its exit codes."""

from __future__ import annotations

import os
import sys
from typing import NoReturn

from iristrack.runtime.event_log import EventLog
from iristrack.runtime.log_sink import nonblocking_sink
from iristrack.settings import SETTINGS_VARIABLE, Settings, load_settings

EXIT_BAD_SETTINGS = 2
EXIT_NO_ADDRESS = 2


def configure_log(settings: Settings) -> EventLog:
    """One line of key=value pairs for each event on standard error, with the node that says it; never waited for."""
    return EventLog(nonblocking_sink(sys.stderr.fileno()), node=settings.node_name)


def settings_or_exit(role: str) -> Settings:
    """The settings that the environment names, for this role of the deploy file.

    One line for all findings and exit code 2 where they cannot be used.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        _end(f"{SETTINGS_VARIABLE}: names no settings file")
    result = load_settings(path)
    if result.is_error():
        findings = [
            f"{finding.place}: {finding.problem}" for finding in result.error if finding.place != path
        ]
        unreadable = [finding.problem for finding in result.error if finding.place == path]
        _end(f"{path}: " + "; ".join(unreadable + findings))
    if result.ok.role != role:
        _end(f"{path}: role: {result.ok.role!r} is not run by this program, {role!r} is")
    return result.ok


def _end(problem: str) -> NoReturn:
    print(f"iristrack: {problem}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)


def reload_settings(log) -> Settings | None:
    """The settings as they are now; None, and a line in the log, where they cannot be used."""
    result = load_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    if result.is_error():
        for finding in result.error:
            log.error("settings stay as they were", place=finding.place, problem=finding.problem)
        return None
    return result.ok
