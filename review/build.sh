#!/bin/sh
# Builds the stand-ins of the cases: Python sources, the project's own and those of the cases, compiled once as a check.
# Needs what the build of deploy/system.toml leaves in target/deps; loads nothing from a network.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=".:target/deps" python3 - <<'PYTHON'
import ast
import importlib
import pathlib
import sys

for name in ("system", "model_server", "client", "operator", "documents", "links", "linked_program"):
    importlib.import_module(f"iristrack.standin.{name}")
for source in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(source.read_bytes(), str(source))
sys.exit(0)
PYTHON
