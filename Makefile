VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: install run test bench report format

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

run: install
	$(VENV)/bin/redwing-dev $(ARGS)

test: install
	$(PYTHON) -m tools.run_tests

bench: install
	$(PYTHON) -m benchmarks $(ARGS)

report: install
	$(PYTHON) -m benchmarks.report $(ARGS)

format: install
	$(VENV)/bin/black redwingplank benchmarks features tools
	$(VENV)/bin/ruff check --fix redwingplank benchmarks features tools
