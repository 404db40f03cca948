#!/usr/bin/env bash
# The stand-ins and scripts are plain JavaScript, so there is nothing to compile;
# this checks that Node.js can parse each of them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
