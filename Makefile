# Everything a new machine needs comes from the pinned lock file.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := monsoonpier standins bench tests

.PHONY: demo test format tools bench capacity mutations plots soak binary clean

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

demo: $(VENV)/.ready
	@$(BIN)/python -m bench.demo

test: $(VENV)/.ready
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/python -m tests

format: $(VENV)/.ready
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

# rope and mypy, for renames across modules; `make test` does without them.
tools: $(VENV)/.tools-ready

$(VENV)/.tools-ready: requirements-tools.lock $(VENV)/.ready
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-tools.lock
	touch $@

bench: $(VENV)/.ready
	@$(BIN)/python -m bench

capacity: $(VENV)/.ready
	@$(BIN)/python -m bench.capacity

mutations: $(VENV)/.ready
	@$(BIN)/python -m bench.mutate

soak: $(VENV)/.ready
	@$(BIN)/python -m bench.soak --seeds 10

plots: $(VENV)/.ready
	@$(BIN)/python -m bench.plots

binary: $(VENV)/.ready
	@bash bench/binary.sh

clean:
	rm -rf $(VENV) build dist
