# All set-up happens here: a fresh machine needs Python 3.11, pip and make.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/briarford packages/briarford-daemon packages/briarford-bench packages/briarford-cli platform

.PHONY: demo test check format soak soak-processes explore

.venv/.installed: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

demo: .venv/.installed
	$(BIN)/briarford demo --seed 7

test: .venv/.installed
	$(BIN)/python -m pytest

check: .venv/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src platform/src

format: .venv/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Random faults for a time: make soak SECONDS=600 SEED=7
SECONDS ?= 60
SEED ?= 1
soak: .venv/.installed
	PYTHONPATH=packages/briarford/tests $(BIN)/python -m dispatch.soak --seconds $(SECONDS) --seed $(SEED)

# Real processes under overlapping faults; other sizes:
# make soak-processes SEEDS="0 50" FLEET="--entries 6 --agents 24"
SEEDS ?= 0 50
FLEET ?=
soak-processes: .venv/.installed
	PYTHONPATH=packages/briarford/tests:tests/adapter $(BIN)/python tests/adapter/soak.py --seeds $(SEEDS) $(FLEET)

# All pairs of faults at all of some moments, against the cores of the fleet;
# only those with one of some faults: make explore FAULTS="client_is_reset";
# random series of three to six: make explore FAULTS="--series 1000"
FAULTS ?=
explore: .venv/.installed
	PYTHONPATH=packages/briarford/tests $(BIN)/python -m fleet.explore $(FAULTS)
