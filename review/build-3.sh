#!/bin/bash
# Builds what the cases 11 to 13 start beside the program of the deploy file: their stand-ins are plain modules of Node.js
# without dependencies, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-3]/*.mjs; do node --check "$file"; done
