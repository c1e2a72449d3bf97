#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2/, with the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -I.)
shared=()
for source in review/cluster/http.cpp review/cluster/cluster.cpp; do
  object="target/review-2/$(basename "$source" .cpp).o"
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object"
  shared+=("$object")
done
for source in review/{6,7,8,9,10}/*.cpp; do
  if [[ -f $source ]]; then
    "${CXX:-g++}" "${flags[@]}" "$source" "${shared[@]}" \
      -o "target/review-2/$(basename "$source" .cpp)" -lcrypto -lpthread
  fi
done
