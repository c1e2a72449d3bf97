#!/bin/sh
# Builds the stand-ins of the cases in review/11 to review/15, into
# target/review-3. Uses the libraries of deploy/system.toml only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=c++20 -O1 -I . -Wall -Wextra"
libraries="-lfmt -lcrypto -pthread"
g++ $flags -c -o target/review-3/stage.o review/standins-3/stage.cpp
for case in shared_id anti_affinity checkpoints; do
  g++ $flags -o "target/review-3/$case" "review/standins-3/$case.cpp" \
    target/review-3/stage.o $libraries
done
