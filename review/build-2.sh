#!/bin/sh
# The stand-ins of the second review are plain JavaScript and need no build. Checks that each can be loaded.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
