# make test   builds and runs all tests; the last line gives the counts
# make demo   runs the whole system as processes on loopback
# make bench  writes build/bench.json
BUILD_DIR ?= build
.PHONY: packages configure build test demo bench generate format lint clean

packages:
	@.ci/install-packages

configure: packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null

build: configure
	@cmake --build $(BUILD_DIR)

test: build
	@BUILD_DIR=$(BUILD_DIR) testing/run_tests.sh

demo: build
	@BUILD_DIR=$(BUILD_DIR) testing/demo.sh

bench: build
	@BUILD_DIR=$(BUILD_DIR) testing/bench.sh

generate:
	@git ls-files --cached --others --exclude-standard '*.capnp' | xargs -n 1 capnp compile -oc++:.

format:
	@.ci/format --fix

lint: build
	@BUILD_DIR=$(BUILD_DIR) .ci/lint

clean:
	@rm -rf $(BUILD_DIR)
