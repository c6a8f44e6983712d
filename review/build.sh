#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules that use Node.js alone, so nothing is compiled.
# Checks that Node.js reads each of them.
cd "$(dirname "$0")/.." || exit 2
for file in review/harness/*.mjs review/[0-9]*/run.mjs; do
  node --check "$file" || exit 1
done
