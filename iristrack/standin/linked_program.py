"""Starts a program of the system as its command does, with inner connections dialled over given links.

    LINKS='{"127.0.0.2:7640": "127.0.0.1:40001"}' python -m iristrack.standin.linked_program controlplane

An address that `LINKS` names is dialled at the other one, where a `Link` (`links.py`) hands the bytes on.
"""

from __future__ import annotations

import importlib
import json
import os
import sys

from iristrack.wire import dialing

LINKS_VARIABLE = "LINKS"


def main() -> int:
    """Run the program that the first argument names."""
    links = json.loads(os.environ[LINKS_VARIABLE])
    parse_address = dialing.parse_address
    dialing.parse_address = lambda text: parse_address(links.get(text, text))
    return importlib.import_module(f"iristrack.cli.{sys.argv[1]}").main([])


if __name__ == "__main__":
    sys.exit(main())
