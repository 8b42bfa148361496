PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := src tests benchmarks soak

.PHONY: test lint format bench demo clean

$(VENV)/.installed: requirements/pinned.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/pinned.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps --editable .
	touch $@

test: lint
	$(BIN)/pytest -n 4 -m "not hostile"
	$(BIN)/pytest -m hostile tests/hostile

lint: $(VENV)/.installed
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/python scripts/write_codes.py

demo: $(VENV)/.installed
	$(BIN)/radishmount-trial examples/demo.jsonc

bench: $(VENV)/.installed
	$(BIN)/python -m pytest benchmarks --benchmark-only

clean:
	rm -rf $(VENV)
