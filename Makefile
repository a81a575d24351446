PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= guild

.PHONY: demo test lint types generated tests format generate bench clean

# Installs the pinned packages once; later runs find the stamp and do nothing.
$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python tools/demo.py --deployment $(DEPLOYMENT)

# Replays one trace on lentilfork and on two baselines; see build/bench.
bench: $(VENV)/.installed
	$(BIN)/lentilfork-bench flows --deployment examples/$(DEPLOYMENT)/deployment.json

test: lint types generated tests

lint: $(VENV)/.installed
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools

types: $(VENV)/.installed
	$(BIN)/mypy

generated: $(VENV)/.installed
	$(BIN)/python tools/generate.py --check

tests: $(VENV)/.installed
	$(BIN)/python tools/run_tests.py

format: $(VENV)/.installed
	$(BIN)/ruff check --fix src tests tools
	$(BIN)/ruff format src tests tools

generate: $(VENV)/.installed
	$(BIN)/python tools/generate.py

clean:
	rm -rf $(VENV) build
