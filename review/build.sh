#!/bin/sh
# Builds what the cases start beside the deploy file's build. Their stand-ins are plain
# scripts of this folder, which need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */*.mjs; do
  node --check "$file"
done
