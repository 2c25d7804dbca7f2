PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: demo test lint format bench proofs capacity clean

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	    -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/ready
	@$(RUN) -m standins.demo

test: $(VENV)/ready
	$(RUN) -m tests

lint: $(VENV)/ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(VENV)/ready
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(VENV)/ready
	$(RUN) -m bench

proofs: $(VENV)/ready
	$(RUN) -m tests.proofs

capacity: $(VENV)/ready
	$(RUN) -m bench.capacity

clean:
	rm -rf $(VENV) out
