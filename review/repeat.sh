#!/usr/bin/env bash
# Runs a case several times and once without the disruption: review/repeat.sh N [TIMES]. Prints the outcome of each run.
set -uo pipefail
cd "$(dirname "$0")/.."
case=$1
for run in $(seq "${2:-5}"); do
	output=$("review/$case/run.sh")
	echo "run $run: exit code $? $output"
done
cp "review/$case/record.txt" "review/$case/record.tmp"
output=$(TROUBLE=0 "review/$case/run.sh")
echo "without the disruption: exit code $? $output"
mv "review/$case/record.tmp" "review/$case/record.txt"
