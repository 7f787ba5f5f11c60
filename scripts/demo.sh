#!/usr/bin/env bash
# Installs and builds a fresh clone, then runs the demo: a local fleet of stand-ins and 4 routers with 45 s of traffic.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ci --no-audit --no-fund --loglevel=error
npm run --silent build
npx papayawell demo "$@"
