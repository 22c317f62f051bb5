#!/bin/sh
# Run after the build of the deploy file. The stand-ins of the cases 6 to 10 are plain modules and need no compiler; this checks that each can be loaded.
set -e
cd "$(dirname "$0")/.."
for module in review/stand-ins-2/*.mjs review/[6-9]/run.mjs review/10/run.mjs; do
  [ ! -e "$module" ] || node --check "$module"
done
