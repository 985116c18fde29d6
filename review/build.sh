#!/bin/sh
# Builds what the scripts start besides the deployed program: the stand-ins of the store, the engines and the clients.
# Needs the compiler and libraries that deploy/system.toml names, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -I src -I platform/bench -o target/review/trial \
  review/standins/trial.cpp platform/bench/deploy_template.cpp -lboost_json
echo "built target/review/trial"
