#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, into
# build-review-3. Uses the libraries of deploy/system.toml only.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-3
flags="-std=c++20 -O1 -I . -Wall -Wextra"
libraries="-lfmt -lcrypto -pthread"
g++ $flags -c -o build-review-3/stage.o review/standins-3/stage.cpp
for case in shared_id anti_affinity; do
  g++ $flags -o "build-review-3/$case" "review/standins-3/$case.cpp" \
    build-review-3/stage.o $libraries
done
