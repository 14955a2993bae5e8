"""Exit codes of the commands that ask a system or check its files."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_FOUND = 1  # findings, or a difference
EXIT_UNREADABLE = 2  # a file, a folder or an argument that cannot be used
EXIT_NO_ANSWER = 3  # no control plane answered, or there is nothing to tell yet
