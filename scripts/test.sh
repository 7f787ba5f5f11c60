#!/usr/bin/env bash
# Installs dependencies, checks formatting, builds, lints, and runs all tests and a short run of the fault soak test.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund --loglevel=error
npm run --silent format:check
npm run --silent build
npm run --silent lint
npm run --silent test
node platform/dist/soak/main.js --seed 1 --runs 1 --seconds 5 --gateways 2
cat KNOWN-RED.txt
