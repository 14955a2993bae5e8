"""The tests that the pages name are there."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
_NAMED = re.compile(r"`((?:tests/)?(?:[a-z_0-9]+/)*(?:test_[a-z_0-9]+\.py)?)(?:::(test_[a-z_0-9]+))?`")


def files_named(path: str) -> list[Path]:
    """Those that a page may mean: a path from the root, or the name of a test file alone."""
    if path.startswith("tests/"):
        return [found for found in [ROOT / path] if found.exists()]
    return list((ROOT / "tests").glob(f"**/{path}"))


def missing(page: Path) -> list[str]:
    """What a page names and what is not there."""
    found = []
    for path, test in _NAMED.findall(page.read_text()):
        if not (path.startswith("tests/") or path.endswith(".py")):
            continue
        files = files_named(path)
        if not files or (test and not any(f"def {test}(" in file.read_text() for file in files)):
            found.append(f"{path}::{test}" if test else path)
    return found


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_test_that_a_page_names_is_there(page: Path) -> None:
    assert missing(page) == []


def test_a_test_that_is_not_there_is_found(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        "`tests/ci/test_pages.py::test_nobody_wrote`, `test_no_such_file.py`, "
        "`tests/ci/test_pages.py`, `tests/register/`"
    )
    assert missing(page) == ["tests/ci/test_pages.py::test_nobody_wrote", "test_no_such_file.py"]
