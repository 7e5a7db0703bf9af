#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start; the build of the deploy file has to run before.
set -euo pipefail
cd "$(dirname "$0")/.."
node -e '
import("./scripts/bundle.mjs").then(({ bundle }) =>
    bundle("review/standins.mjs", "build/review/standins.cjs", { sourcemap: false }));
'
