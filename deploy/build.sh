#!/bin/sh
# Builds target/monsoonhall.cjs; installs the packages first if they are missing, outdated or of another
# kind of processor.
set -eu

is_installed() {
  node scripts/check_packages.mjs && node_modules/.bin/esbuild --version >/dev/null 2>&1
}

is_installed || npm ci --loglevel=error --ignore-scripts --include=dev
node scripts/bundle_platform.mjs
