VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := chicoryplank chicoryplank-wire chicoryplank-entry chicoryplank-agent chicoryplank-standins
SOURCES := packages tools benchmarks

# The sources of this checkout come first, so that a second checkout can share
# one environment.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach package,$(PACKAGES),$(CURDIR)/packages/$(package)/src))

.PHONY: setup test check format unit demo generate soak-model

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(foreach package,$(PACKAGES),packages/$(package)/pyproject.toml)
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation $(foreach package,$(PACKAGES),--editable packages/$(package))
	touch $@

test: setup check unit

check: setup
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)

format: setup
	$(PYTHON) -m ruff format $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

unit: setup
	$(PYTHON) tools/run_tests.py

generate:
	$(PYTHON) tools/generate_messages.py

# Each measurement is benchmarks/<name>.py; make bench-<name> runs it.
bench-%: setup
	$(PYTHON) benchmarks/$(subst -,_,$*).py

# Runs the models of attempts, claims and configuration over many seeds.
SEED ?= 0
STEPS ?= 2000000
soak-model: setup
	$(PYTHON) tools/soak_model.py --seed $(SEED) --steps $(STEPS)

demo: setup
	$(PYTHON) tools/demo.py
