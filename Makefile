PORT ?= 8080
VENV := .venv
PYTHON ?= python3
STAMP := $(VENV)/.installed

.PHONY: run test check clean

run: $(STAMP)
	@exec $(VENV)/bin/jasminewharf run --port $(PORT)

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n 4 --dist loadfile

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	@touch $(STAMP)

clean:
	rm -rf $(VENV) build *.egg-info src/*.egg-info
