# The commands of the README. Each sets up what it needs on a fresh machine.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo system-demo test lab check

.venv/installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements.txt
	cp requirements.txt .venv/installed

.venv/installed-lab: .venv/installed requirements-lab.txt
	$(BIN)/pip -q install -r requirements-lab.txt
	cp requirements-lab.txt .venv/installed-lab

.venv/installed-system: .venv/installed requirements-system.txt
	$(BIN)/pip -q install -r requirements-system.txt
	cp requirements-system.txt .venv/installed-system

.venv/installed-dev: .venv/installed-lab requirements-dev.txt requirements-state.txt requirements-system.txt
	$(BIN)/pip -q install -r requirements-dev.txt -r requirements-system.txt
	cp requirements-dev.txt .venv/installed-dev

demo: .venv/installed
	$(BIN)/python examples/demo.py

system-demo: .venv/installed-system
	$(BIN)/python examples/system_demo.py

lab: .venv/installed-lab
	$(BIN)/python -m iristrack lab list

test: .venv/installed-dev
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/python .ci/checks.py
	PYTHONPATH=.ci $(BIN)/python -m pytest -q -p known_red
