# Entry points for developers; the build itself is done by CMake.
BUILD := build
PYTHON := /usr/bin/python3

.PHONY: setup build run test bench drills check lint format

setup:
	@bash scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	    > $(BUILD).log 2>&1 || (cat $(BUILD).log; rm -f $(BUILD).log; exit 1)
	@rm -f $(BUILD).log
	@cmake --build $(BUILD)

run: build
	@$(PYTHON) scripts/run.py

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

bench: build
	@$(PYTHON) bench/bench.py

lint: build
	@bash scripts/lint.sh

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' \
	    | xargs clang-format -i
