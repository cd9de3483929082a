#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain JavaScript in review/lib-2 and need no
# build. This checks that they and the cases can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
