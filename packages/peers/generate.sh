#!/usr/bin/env bash
# Generates the codecs of proto/peers.proto; their code is committed, so that a build needs no generator.
set -euo pipefail
cd "$(dirname "$0")"
options=(-t static-module -w esm -r papayawellPeers --no-service --no-convert --no-delimited --no-typeurl --no-verify)
scratch=$(mktemp -d)
trap 'rm -r "$scratch"' EXIT
npx pbjs "${options[@]}" --no-comments -o src/node/generated/peers.js proto/peers.proto
npx pbjs "${options[@]}" --dts -o "$scratch/peers.js" proto/peers.proto
cp "$scratch/peers.d.ts" src/node/generated/peers.d.ts
