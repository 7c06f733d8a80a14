# Thin front of the CMake build. Each target does its own set-up.
B ?= build
J ?= $(shell nproc)

.PHONY: all build test demo bench format lint sanitize models setup clean

all: build

setup:
	@scripts/setup

build: setup
	@cmake -S . -B $(B) -G Ninja >/dev/null
	@cmake --build $(B) -j $(J)

test: build
	@scripts/run-tests $(B)

sanitize: setup
	@cmake -S . -B $(B)-san -G Ninja -DSANITIZE=ON >/dev/null
	@cmake --build $(B)-san -j $(J)
	@scripts/run-tests $(B)-san

format:
	@scripts/check-format

lint: build
	@scripts/check-lint $(B)

models: setup
	@scripts/check-models

demo: build
	@scripts/demo $(B)
	@scripts/demo-hosted $(B)

# Prints the tables of docs/results and docs/CAPACITY.md, but for those that
# take long: scripts/bench-cells, scripts/bench-cost (callgrind),
# scripts/bench-capacity and scripts/bench-jobs.
bench: build
	@scripts/bench $(B)
	@$(B)/bin/config-bench
	@$(B)/bin/wire-bench
	@scripts/bench-path $(B)

clean:
	rm -rf build build-san
