#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without the disruption; run.mjs reads it.
exec node "$(dirname "$0")/run.mjs"
