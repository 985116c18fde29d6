#!/usr/bin/env bash
# Builds the scripts of the second review into target/review-2/: each is one program with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
out=target/review-2
flags=(-std=c++20 -O1 -g -pthread -Wall -Wextra)
g++ "${flags[@]}" -c review/standins-2/json.cpp -o "$out/json.o"
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = json ] && continue
  g++ "${flags[@]}" "$source" "$out/json.o" -o "$out/$name"
done
