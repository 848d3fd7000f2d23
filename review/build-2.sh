#!/bin/sh
# The stand-ins of the cases 4 and up are plain modules for Node without
# dependencies: there is nothing to compile. This checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.mjs [4-6]/*.mjs; do
  node --check "$file" || exit 1
done
