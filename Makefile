# Every target makes its own .venv; only Python 3.11 with pip is needed.
PYTHON ?= python3
SEED ?= 1
QUICK ?= 0
KEEP ?= 0
MINUTES ?= 2
PLAY ?=
JOBS ?= 5
KNOWN_RED := sed -n 's/^test: */--deselect /p' KNOWN-RED.txt
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform

.PHONY: venv demo test lint format ci soak

venv: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt $(PACKAGES:%=-e ./%)
	touch $@

demo: venv
	$(BIN)/python -m vanillashore_standins.demo --seed $(SEED) $(if $(filter 1,$(KEEP)),--keep)

# Tests listed in KNOWN-RED.txt are printed and passed over. Those of crowds measure a process's
# memory and descriptors, so they run one at a time and apart.
test: venv
	@if grep -q '^test:' KNOWN-RED.txt; then echo 'Known red, passed over:'; cat KNOWN-RED.txt; fi
	$(BIN)/python -m pytest -q -n $(JOBS) --ignore tests/crowds $$($(KNOWN_RED))
	$(BIN)/python -m pytest -q tests/crowds $$($(KNOWN_RED))

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

ci:
	bash .ci/run

soak: venv
	$(BIN)/python -m vanillashore_standins.soak --seed $(SEED) --minutes $(MINUTES) $(PLAY)

bench-%: venv
	$(BIN)/python benches/$*.py --seed $(SEED) $(if $(filter 1,$(QUICK)),--quick)
