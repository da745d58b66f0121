#!/bin/sh
# The stand-ins of the second review's cases are plain modules of Node.js, in lib-2/.
# Nothing has to be built; this checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 2
done
