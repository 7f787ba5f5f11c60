#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 11 to 15. They are plain modules without dependencies, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
	node --check "$file"
done
