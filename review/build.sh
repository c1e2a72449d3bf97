#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
pids=()
for source in review/standins/*.cpp flamingoloom/http/client.cpp \
  flamingoloom/base/error.cpp; do
  object=target/review/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ "${objects[@]}" -o target/review/review-world.new -lfmt -lpthread
mv target/review/review-world.new target/review/review-world
