#!/bin/sh
# The stand-ins are plain JavaScript modules without dependencies; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
