#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js that need no build; this checks that they
# can be read. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
test -f ../target/snipethread.cjs
