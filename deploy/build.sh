#!/bin/sh
# Builds target/monsoonhall.cjs; installs the packages first if they are missing, outdated or of another
# kind of processor.
set -eu

is_installed() {
  [ node_modules/.package-lock.json -nt package-lock.json ] &&
    node_modules/.bin/esbuild --version >/dev/null 2>&1
}

is_installed || npm ci --loglevel=error --ignore-scripts --include=dev
node scripts/bundle_platform.mjs
