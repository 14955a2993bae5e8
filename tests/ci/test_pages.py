"""Check that the tests named in the documentation exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
_TEST_REFERENCE = re.compile(
    r"`((?:tests/)?(?:[a-z_0-9]+/)*(?:test_[a-z_0-9]+\.py)?)(?:::(test_[a-z_0-9]+))?`"
)


def matching_files(path: str) -> list[Path]:
    """Return the files that a reference may mean: a path from the root, or just the name of a test file."""
    if path.startswith("tests/"):
        return [file for file in [ROOT / path] if file.exists()]
    return list((ROOT / "tests").glob(f"**/{path}"))


def missing_references(page: Path) -> list[str]:
    """Return the references of a page to tests that do not exist."""
    missing_items = []
    for path, test in _TEST_REFERENCE.findall(page.read_text()):
        if not (path.startswith("tests/") or path.endswith(".py")):
            continue
        files = matching_files(path)
        if not files or (test and not any(f"def {test}(" in file.read_text() for file in files)):
            missing_items.append(f"{path}::{test}" if test else path)
    return missing_items


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_tests_named_on_a_page_exist(page: Path) -> None:
    assert missing_references(page) == []


def test_missing_test_is_reported(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    page.write_text(
        "`tests/ci/test_pages.py::test_nobody_wrote`, `test_no_such_file.py`, "
        "`tests/ci/test_pages.py`, `tests/register/`"
    )
    assert missing_references(page) == ["tests/ci/test_pages.py::test_nobody_wrote", "test_no_such_file.py"]
