#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, beside the build of the deploy
# file. Their stand-ins (review/lib-2) are plain modules that need no build; they
# are only checked here.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
