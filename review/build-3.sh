#!/bin/sh
# The stand-ins of cases 11 to 15 are plain modules in lib-3 and need no build; this
# checks that they load, and that the deploy file has been built.
cd "$(dirname "$0")/.." || exit 1
[ -f target/parsleywood.cjs ] || { echo 'build the deploy file first' >&2; exit 1; }
node --check review/lib-3/site.mjs
