#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules in
# review/stand_ins_2 that need no compiler; this checks that each one parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
