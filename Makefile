VENV ?= .venv
PYTHON ?= python3
SECONDS ?= 50
BIN := $(VENV)/bin

.PHONY: demo test lint format bench dist check-dist

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
