#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js: nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/stand_ins/*.mjs review/[1-5]/run.mjs; do
  node --check "$module"
done
