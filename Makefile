PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 60

.PHONY: install demo test lint bench soak fleet slopes generate clean

$(VENV)/installed: requirements.txt packages/*/pyproject.toml \
		platform/pyproject.toml tools/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/common -e packages/entry -e packages/agent \
		-e platform -e tools
	touch $@

install: $(VENV)/installed

demo: install
	$(BIN)/python -m almonddeal_tools.demo

test: install
	$(BIN)/python -m almonddeal_tools.run_tests

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: install
	$(BIN)/python -m almonddeal_tools.bench

soak: install
	$(BIN)/python -m almonddeal_tools.soak --seed $(SEED) --seconds $(SECONDS)

slopes: install
	$(BIN)/python -m almonddeal_tools.slopes

fleet: install
	$(BIN)/python -m almonddeal_tools.run_fleet

generate:
	sh idl/generate.sh

clean:
	rm -rf $(VENV) .hypothesis .ruff_cache target packages/*/build platform/build
