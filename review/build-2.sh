#!/usr/bin/env bash
# Builds the scripts of the cases 6 to 10, with all stand-ins that they start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for entry in review/{6,7,8,9,10}/case.mjs; do
    [ -f "$entry" ] || continue
    node --input-type=module -e '
        import { bundle } from "./scripts/bundle.mjs";
        await bundle(process.argv[1], process.argv[2], { sourcemap: false });
    ' "$entry" "target/review-2/$(basename "$(dirname "$entry")").cjs"
done
