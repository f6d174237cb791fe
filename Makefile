# Common tasks. `make build` uses the build command of the deployment, `make test` the one in the README.
BUILD := $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
TEST := $(shell sed -n 's/^Test: `\(.*\)`$$/\1/p' README.md)
CONFIG ?= config.json

.PHONY: build test lint run clean
build:
	$(BUILD)
test:
	$(TEST)
lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.h')
	cmake -B build-test -DCMAKE_BUILD_TYPE=Release
	git ls-files 'src/*.cpp' 'simhost/*.cpp' | xargs -P 4 -n 1 clang-tidy --quiet -p build-test
run: build
	build/ryeglade serve --config $(CONFIG)
clean:
	rm -rf build build-test build-asan
