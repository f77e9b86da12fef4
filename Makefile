VENV ?= .venv
PYTHON ?= python3
SECONDS ?= 50
MINUTES ?= 5
BIN := $(VENV)/bin

.PHONY: demo test lint format bench dist check-dist soak

# The stamp is rebuilt whenever the declared libraries change.
$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m hawthornfold.emulator demo $(if $(KEEP),--keep)

test: $(VENV)/.installed
	$(BIN)/python tools/run_tests.py

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 hawthornfold tools

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.installed
	$(BIN)/python -m hawthornfold.emulator bench --seconds $(SECONDS)

dist: $(VENV)/.installed
	$(BIN)/python tools/build_dist.py

check-dist: dist
	$(BIN)/python -m unittest tools.tests.test_dist

# Faults play for 20 s a seed; with start and recovery a seed takes about 35 s.
soak: $(VENV)/.installed
	$(BIN)/python -W ignore -m hawthornfold.platform.tests.soak $(if $(SEED),--seed $(SEED)) $(if $(OLD),--old-release $(OLD)) --seeds $$(( $(MINUTES) * 60 / 35 + 1 )) --seconds 20
