#!/bin/sh
# Checks the stand-ins of the cases. They are plain JavaScript on Node's own modules, so that
# nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
