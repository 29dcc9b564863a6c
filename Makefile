PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: bench demo test model format binary clean

$(STAMP): requirements.lock requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

demo: $(STAMP)
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
