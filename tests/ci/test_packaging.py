"""Tests of the package list in pyproject.toml and of the system's deploy file."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_wheel_includes_every_package() -> None:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    listed = settings["tool"]["setuptools"]["packages"]
    existing = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "iristrack").rglob("__init__.py")
    }
    assert sorted(listed) == sorted(existing)


def test_system_deploy_file_lists_packages_and_roles() -> None:
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    assert {"python3", "python3-pip"} <= set(deploy["packages"])
    assert set(deploy["roles"]) == {"dataplane", "controlplane"}
