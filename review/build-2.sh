#!/bin/bash
# Builds what the scripts of cases 6 to 8 start beside the program of the deploy file. Their stand-ins are plain JavaScript
# without dependencies, so that there is only their syntax to check.
set -e
cd "$(dirname "$0")"
for file in standins-2.mjs 6/*.mjs 7/*.mjs 8/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
