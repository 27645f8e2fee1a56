#!/usr/bin/env bash
# The stand-ins of the third review are plain modules for Node.js without dependencies: they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
node --check standins-3.mjs
for script in 1[1-5]/*.mjs; do
    node --check "$script"
done
