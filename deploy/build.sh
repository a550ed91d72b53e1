#!/bin/sh
# Builds target/monsoonhall.cjs; installs the packages first if they are missing or outdated.
set -eu
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent --ignore-scripts
node scripts/bundle_platform.mjs
