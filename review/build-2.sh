#!/bin/sh
# Checks the scripts of the cases 6 to 10. They are plain JavaScript, so that there is nothing to build.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
