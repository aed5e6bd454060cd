# VENV may name an existing environment; it is created where it is absent.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 0
CASES ?= 0
SEEDS ?= 1
MINUTES ?= 0.5
DAEMONS ?= 4

.PHONY: capacity demo test soak matrix lint format typecheck dist check clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev,plots]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m plantainhook demo

# Rewrites the tables of the page; takes a few minutes.
capacity: $(STAMP)
	$(BIN)/python -m plantainhook capacity --write docs/CAPACITY.md

test: $(STAMP)
	$(BIN)/python -m pytest

# Every cell of the fault matrix and random pairs of faults; SEED= chooses the
# pairs and CASES= runs fewer cases. Writes docs/fault-matrix.md.
matrix: $(STAMP)
	SEED=$(SEED) CASES=$(CASES) $(BIN)/python -m tests.matrixdriver

# Daemons as processes under faults; SEED= is the first of SEEDS= seeds, with
# faults for MINUTES= each.
soak: $(STAMP)
	$(BIN)/python -m tests.soak --seed $(SEED) --seeds $(SEEDS) \
		--minutes $(MINUTES) --daemons $(DAEMONS)

lint: $(STAMP)
	$(BIN)/python -m ruff format --check plantainhook tests
	$(BIN)/python -m ruff check plantainhook tests

format: $(STAMP)
	$(BIN)/python -m ruff format plantainhook tests
	$(BIN)/python -m ruff check --fix plantainhook tests

typecheck: $(STAMP)
	$(BIN)/python -m mypy

# One file that runs as one process. It unpacks at start below SHIV_ROOT,
# which belongs on a memory-backed file system where there is no disk.
dist: $(STAMP)
	rm -rf build dist
	mkdir -p dist
	$(BIN)/shiv --quiet -c plantainhook -o dist/plantainhook \
		-p '/usr/bin/env python3.11' \
		-- -q -c constraints.txt .
	SHIV_ROOT=build/shiv $(BIN)/python dist/plantainhook --help > /dev/null
	SHIV_ROOT=build/shiv $(BIN)/python dist/plantainhook serve --help > /dev/null
	SHIV_ROOT=build/shiv $(BIN)/python dist/plantainhook query --help > /dev/null
	rm -rf build

check: lint typecheck test

clean:
	rm -rf build dist .mypy_cache .ruff_cache
