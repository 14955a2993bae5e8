"""The control plane's program: `python3 -m iristrack.cli.controlplane`.

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
        prog="iristrack.cli.controlplane",
        description="Keep the configuration and hand it on, by the settings file that IRISTRACK_CONFIG names.",
    )
    parser.parse_args(arguments)


def _serve(signals: socket.socket) -> int:
    from iristrack.cli.settings_file import (
        EXIT_BAD_SETTINGS,
        EXIT_NO_ADDRESS,
        configure_log,
        reload_settings,
        settings_or_exit,
    )
    from iristrack.controlplane.program import ControlPlane
    from iristrack.store.acceptor_store import AcceptorStoreError

    settings = settings_or_exit("controlplane")
    log = configure_log(settings)
    if settings.data_dir is None:
        print("iristrack: data_dir: the control plane needs a disk", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        program = ControlPlane(settings, log, lambda: reload_settings(log))
        program.start()
    except AcceptorStoreError as fault:
        print(f"iristrack: {settings.data_dir}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except OSError as fault:
        print(f"iristrack: cannot start: {fault}", file=sys.stderr)
        return EXIT_NO_ADDRESS
    log.info("control plane started", zone=settings.zone, voting=program.register.voting)
    program.run(signals)
    return 0


if __name__ == "__main__":
    sys.exit(main())
