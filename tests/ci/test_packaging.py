"""What an installed iristrack holds, and what the deploy files promise."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_every_package_is_in_the_wheel() -> None:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    named = settings["tool"]["setuptools"]["packages"]
    there = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "iristrack").rglob("__init__.py")
    }
    assert sorted(named) == sorted(there)


def test_the_system_names_its_packages_and_roles() -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert {"python3", "python3-pip"} <= set(deploy["packages"])
    assert set(deploy["roles"]) == {"dataplane", "controlplane"}
