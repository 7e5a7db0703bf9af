#!/bin/sh
# Checks the stand-ins and scripts of cases 11 to 14. They are plain modules that need no bundle; the processes
# that they start come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-4]/play.mjs; do
    node --check "$file"
done
