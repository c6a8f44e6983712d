#!/usr/bin/env bash
# Prepares the stand-ins of the third review. They are plain modules of Node.js without any
# dependency, so nothing has to be built; this checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in harness-3/*.mjs 9/case.mjs 10/case.mjs 11/case.mjs 12/case.mjs 13/case.mjs; do
  node --check "$file"
done
