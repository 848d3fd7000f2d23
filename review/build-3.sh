#!/bin/sh
# The stand-ins of this review are plain JavaScript: they are checked, not built.
set -e
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs 11/*.mjs; do
  node --check "$file"
done
