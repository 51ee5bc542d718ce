PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint setup bench bench-capacity bench-grants bench-engines soak

setup: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $@

demo: setup
	$(BIN)/python -m demo.run

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports --no-cache

test: setup lint
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/python -m benchmarks.budgets

bench-capacity: setup
	$(BIN)/python -m benchmarks.capacity

bench-grants: setup
	$(BIN)/python -m benchmarks.grants

bench-engines: setup
	$(BIN)/python -m benchmarks.engines

soak: setup
	$(BIN)/python -m soak
