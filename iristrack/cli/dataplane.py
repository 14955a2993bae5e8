"""The data plane's program: `python3 -m iristrack.cli.dataplane`.

Its modules, argparse among them, are imported once signals are caught, as that takes most of a start.
"""

from __future__ import annotations

import socket
import sys

from iristrack.runtime.signals import caught_signals


def main(arguments: list[str] | None = None) -> int:
    """Serve until SIGTERM; the exit status."""
    with caught_signals() as signals:
        _read_arguments(arguments)
        return _serve(signals)


def _read_arguments(arguments: list[str] | None) -> None:
    """There are none; raises `SystemExit` for `--help` and for anything else."""
    import argparse

    parser = argparse.ArgumentParser(
        prog="iristrack.cli.dataplane",
        description="Route clients' requests to model servers, by the settings file that IRISTRACK_CONFIG names.",
    )
    parser.parse_args(arguments)


def _serve(signals: socket.socket) -> int:
    from iristrack.cli.settings_file import (
        EXIT_NO_ADDRESS,
        configure_log,
        reload_settings,
        settings_or_exit,
    )
    from iristrack.dataplane.program import DataPlane, raise_descriptor_limit

    settings = settings_or_exit("dataplane")
    log = configure_log(settings)
    raise_descriptor_limit(settings.limits.max_fds)
    program = DataPlane(settings, log, lambda: reload_settings(log))
    try:
        program.start()
    except OSError as fault:
        print(f"iristrack: cannot listen: {fault}", file=sys.stderr)
        return EXIT_NO_ADDRESS
    log.info("data plane started", zone=settings.zone)
    program.run(signals)
    return 0


if __name__ == "__main__":
    sys.exit(main())
