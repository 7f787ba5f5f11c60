#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: the project's stand-in of the store, in platform/dist/soak.
# The stand-ins of the review itself are plain modules in review/stand-ins and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -b platform
