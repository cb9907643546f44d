VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := chicoryplank chicoryplank-wire chicoryplank-entry chicoryplank-agent chicoryplank-standins
SOURCES := packages platform tools benchmarks

# The sources of this checkout come first, so that a second checkout can share
# one environment.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach package,$(PACKAGES),$(CURDIR)/packages/$(package)/src)):$(CURDIR)/platform

.PHONY: setup test check format unit demo generate soak soak-forwarding soak-quick soak-maps soak-model fuzz

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

demo: setup
	$(PYTHON) tools/demo.py

# Every process, seeded faults, every promise checked. Not part of make test.
SEED ?= 1
SECONDS ?= 60
SOAK_FLAGS ?=

soak: setup
	$(PYTHON) tools/soak.py --seed $(SEED) --seconds $(SECONDS)

# Forwarding entries as real processes, seeded faults from outside.
soak-forwarding: setup
	$(PYTHON) tools/soak_forwarding.py --seed $(SEED) --seconds $(SECONDS) $(SOAK_FLAGS)

# Mutated messages against a small site. Not part of make test.
fuzz: setup
	$(PYTHON) tools/fuzz.py --seed $(SEED) --seconds $(SECONDS)

soak-quick: setup
	$(PYTHON) tools/soak.py --seed 1 --seconds 20

# One group on four engines whose expert map changes under seeded faults.
soak-maps: setup
	$(PYTHON) tools/soak_maps.py --seed $(SEED) --seconds $(SECONDS) $(SOAK_FLAGS)

# Attempts, claims and configuration on a virtual clock.
STEPS ?= 2000000

soak-model: setup
	$(PYTHON) tools/soak_model.py --seed $(SEED) --steps $(STEPS)

# A calm day on the users' bench, where their kit is at hand.
KIT ?= ../given/kit/more/system
DAY ?= quiet-1
SITE ?= brennan-kwinana

bench-platform:
	@if [ -x $(KIT)/bin/fleetbench ]; then \
		$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY); \
	else \
		echo "bench-platform: not run, the users' kit is not at $(KIT)"; \
	fi
