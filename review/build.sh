#!/bin/sh
# The stand-ins and the cases are plain JavaScript without dependencies; this checks that all of them can be loaded.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
