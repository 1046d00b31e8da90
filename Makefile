.PHONY: env demo up test lint types measure fuzz soak soak-regressions generate

PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
SECONDS ?= 60
SEED ?= 1
DRILLS ?= 0
WRITERS ?= 0
STRAINS ?= 0

env: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install -q -r requirements.lock
	$(RUN) -m pip install -q --no-deps -e .
	touch $@

demo: env
	$(RUN) -m tools.demo

up: env
	$(RUN) -m tools.up $(if $(DEPLOYMENT),--deployment $(DEPLOYMENT))

test: env
	$(RUN) -m tools.runtests

lint: env
	$(RUN) -m ruff format --check .
	$(RUN) -m ruff check .

types: env
	$(RUN) -m mypy

measure: env
	$(RUN) -m measure

soak: env
	$(RUN) -m soak --seconds $(SECONDS) $(if $(SEEDS),--seeds $(SEEDS),--seed $(SEED)) --drills $(DRILLS) --writers $(WRITERS) --strains $(STRAINS)

soak-regressions: env
	$(RUN) -m soak --seconds 6 --regressions

fuzz: env
	$(RUN) -m tools.fuzz --seconds $(SECONDS) --seed $(SEED)

generate: env
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" tools/generate.sh
