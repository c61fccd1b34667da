VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: install test demo check format soak soak-faults golden pages

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[dev]' --constraint constraints.txt
	touch $@

test: install
	$(PYTHON) -W error::ResourceWarning -m unittest discover --start-directory fulmarshore --top-level-directory . --pattern '*_test.py'

demo: install
	$(PYTHON) -m fulmarshore demo

check: install
	$(VENV)/bin/ruff format --check fulmarshore
	$(VENV)/bin/ruff check fulmarshore

format: install
	$(VENV)/bin/ruff check --fix fulmarshore
	$(VENV)/bin/ruff format fulmarshore

golden: install
	$(PYTHON) -m fulmarshore.standins.sessions fulmarshore/golden
	$(PYTHON) -m fulmarshore.standins.flowlines fulmarshore/golden

SEED ?= $(shell date +%s)
EXAMPLES ?= 1000
TESTS ?= *_test.py

soak: install
	@echo "seed $(SEED): repeat with make soak SEED=$(SEED) EXAMPLES=$(EXAMPLES) TESTS='$(TESTS)'"
	FULMARSHORE_SOAK_SEED=$(SEED) FULMARSHORE_SOAK_EXAMPLES=$(EXAMPLES) $(PYTHON) -m unittest discover --start-directory fulmarshore --top-level-directory . --pattern '$(TESTS)'

RUNS ?= 1

soak-faults: install
	$(PYTHON) -m fulmarshore soak --seed $(SEED) --runs $(RUNS)

pages: install
	$(PYTHON) -m fulmarshore.commands.reference docs/operating/settings.md
