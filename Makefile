PYTHON = .venv/bin/python

.PHONY: build test lint run
build:
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip -q install -r requirements-dev.txt

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	exec $(PYTHON) -B -m yarrowspindle
