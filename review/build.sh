#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in FaultyServers HerdStart StaleSeeds; do
    c++ -std=c++20 -O2 -Wall -Wextra -pthread "standins/$source.cpp" -o "bin/$source"
done
