# Targets for developers and CI. VENV may name a shared environment.
VENV ?= .venv
PYTHON ?= python3
PY := $(VENV)/bin/python

.PHONY: help venv test unit lint format types demo soak binary clean

help: ## Lists the targets.
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST)

$(VENV)/.installed: requirements.lock
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

venv: $(VENV)/.installed ## Installs the locked dependencies.

test: lint types unit ## Runs everything that CI checks.

unit: venv ## Runs the tests.
	$(PY) -m pytest

lint: venv ## Runs the formatter and the linters.
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m flake8 chervilstep lab tests tools

types: venv ## Runs the type checker.
	$(PY) -m mypy

format: venv ## Formats the code.
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

demo: venv ## Starts a small deployment and sends calls through it.
	$(PY) -m lab demo

SEEDS ?= $(shell seq 1 50)

soak: venv ## Soaks real processes under random faults, by SEEDS.
	$(PY) -m lab soak --seeds $(SEEDS)

binary: venv ## Builds the one file that is shipped, dist/chervilstep.
	$(PY) -m tools.binary

lock: ## Renews the lock file from pyproject.toml.
	$(PY) -m piptools compile --quiet --extra dev --strip-extras --allow-unsafe --no-emit-index-url --no-emit-trusted-host --generate-hashes -o requirements.lock pyproject.toml

clean: ## Removes what the targets made.
	rm -rf build dist lab/out
