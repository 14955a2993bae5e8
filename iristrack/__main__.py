"""The command line: `serve`, `version` and `check-config`.

This file owns the process: arguments, logging, signals and exit codes. It must never hold anything that a
request passes through.
"""

from __future__ import annotations

import argparse
import gc
import os
import resource
import signal
import socket
import sys
from dataclasses import replace
from importlib import metadata

from loguru import logger

from iristrack import __version__
from iristrack.cli import lab, state, system
from iristrack.config import Config, ConfigError, load_config
from iristrack.net.admin import AdminServer
from iristrack.net.front import HttpFront
from iristrack.net.sidecar import Sidecar
from iristrack.runtime.log_sink import nonblocking_sink
from iristrack.runtime.scheduler import Scheduler, clock
from iristrack.runtime.signals import catch_signals

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _reload(sidecar: Sidecar) -> None:
    """Read the configuration anew and follow discovery to where it now is; a bad file changes nothing."""
    try:
        config = load_config(os.environ, reread=True)
    except ConfigError as fault:
        logger.error("SIGHUP: the configuration stays as it was: {}", fault)
        return
    logger.info("SIGHUP: discovery is at {}:{}", *config.discovery)
    if config.settings != sidecar.settings or config.listen != sidecar.config.listen:
        logger.warning("SIGHUP: changed settings and the address to listen on take effect at the next start")
    sidecar.follow(config.discovery)


def _serve(config: Config, woken: socket.socket, trace: bool = False) -> int:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < config.sockets:
        # The bounds on connections count on the descriptors that the configuration promises.
        allowed = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
        config = replace(config, sockets=allowed)
    scheduler = Scheduler(logger.exception)
    keeper = learned = None
    if config.state:
        try:
            from iristrack.store.sidecar_state import SidecarState
        except ModuleNotFoundError as fault:
            print(
                f"iristrack: state needs {fault.name}: pip install -r requirements-state.txt", file=sys.stderr
            )
            return 2
        keeper = SidecarState(config.state, config.name, logger.warning, logger.info)
        learned = keeper.start(config.settings)
    sidecar = Sidecar(scheduler, config, learned)
    sidecar.trace = trace
    front = HttpFront(scheduler, sidecar, config.listen, os.environ.get("TMPDIR", ""))
    door = (
        AdminServer(scheduler, config.admin, lambda: front.serving, sidecar.stats) if config.admin else None
    )

    def signalled() -> None:
        numbers = woken.recv(64)
        if signal.SIGHUP in numbers:
            _reload(sidecar)
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            front.stop()

    scheduler.watch(woken.fileno(), signalled)
    gc.collect()  # before the first client: what is there now stays, and need not be looked at again
    gc.freeze()
    sidecar.start()
    address = config.listen
    try:
        front.start()
        if door is not None:
            address = config.admin
            door.start()
    except OSError as fault:
        print(f"iristrack: cannot listen on {address[0]}:{address[1]}: {fault}", file=sys.stderr)
        return 1
    logger.info("{} listens on {}:{}", config.name, *config.listen)
    if keeper is not None:
        keeper.schedule_snapshots(scheduler, sidecar.balancer, clock)
    scheduler.run()
    if keeper is not None:
        keeper.stop(sidecar.balancer, clock())
    logger.info("{} has stopped", config.name)
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run a sub-command; the exit status."""
    parser = argparse.ArgumentParser(prog="iristrack", description="A client-side load balancer.")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run the sidecar that NODE_CONFIG describes")
    serve.add_argument("--log-level", choices=LEVELS, default="INFO", help="least level that is logged")
    commands.add_parser("version", help="print the version")
    commands.add_parser("check-config", help="read the configuration, print what it says, start nothing")
    lab.add(commands)
    state.add(commands)
    system.add(commands)
    chosen = parser.parse_args(arguments)
    if chosen.command in ("lab", "state", "system", "check-system"):
        return chosen.call(chosen)
    if chosen.command == "version":
        print(f"iristrack {__version__} (greenlet {metadata.version('greenlet')})")
        return 0
    woken = catch_signals() if chosen.command == "serve" else None
    try:
        config = load_config(os.environ)
    except ConfigError as fault:
        print(f"iristrack: {fault}", file=sys.stderr)
        return 2
    if woken is None:
        classes = ", ".join(c.name for c in config.settings.classes)
        door = (
            f"the operators' door at {config.admin[0]}:{config.admin[1]}"
            if config.admin
            else "no operators' door"
        )
        print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}; {door}; classes {classes}")
        return 0
    logger.remove()
    logger.add(
        nonblocking_sink(sys.stderr.fileno()),
        level=chosen.log_level,
        format="{time:HH:mm:ss.SSS} {level} {message}",
    )
    return _serve(config, woken, chosen.log_level == "DEBUG")


if __name__ == "__main__":
    sys.exit(main())
