# Two commands do all set-up on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
BIN = .venv/bin

build:
	@sh -c "$$($(PYTHON) -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

demo: build
	@$(BIN)/python -m violetstack demo

test: build
	@$(BIN)/python -m tests

.PHONY: build demo test
