# All set-up happens here: a fresh machine needs Python 3.11, pip and make.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := briarford briarford-daemon briarford-bench briarford-cli

.PHONY: demo test check format soak

.venv/.installed: requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $@

demo: .venv/.installed
	$(BIN)/briarford demo --seed 7

test: .venv/.installed
	$(BIN)/python -m pytest

check: .venv/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy packages/*/src

format: .venv/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
