PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
RUNTIME := $(VENV)/.runtime
STAMP := $(VENV)/.installed

.PHONY: bench demo test model format binary clean

$(RUNTIME): requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	touch $(RUNTIME)

$(STAMP): $(RUNTIME) requirements-dev.lock
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

demo: $(RUNTIME)
	$(BIN)/python -m papayarelay demo

test: $(STAMP)
	$(BIN)/ruff format --check papayarelay
	$(BIN)/ruff check papayarelay
	$(BIN)/python -m papayarelay.tests

model: $(STAMP)
	$(BIN)/python -m papayarelay.model

bench: $(STAMP)
	$(BIN)/python -m papayarelay bench --plots --outcomes papayarelay/bench/outcomes.json

binary: $(STAMP)
	$(BIN)/python packaging/build.py dist/papayarelay
	$(BIN)/python packaging/selftest.py dist/papayarelay

format: $(STAMP)
	$(BIN)/ruff format papayarelay
	$(BIN)/ruff check --fix papayarelay

clean:
	rm -rf $(VENV) build dist
