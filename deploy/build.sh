#!/bin/sh
# Builds target/monsoonhall.mjs from a clean checkout.
set -eu
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent --ignore-scripts
node scripts/bundle_platform.mjs
