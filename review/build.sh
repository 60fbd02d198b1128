#!/bin/sh
# Builds the stand-ins and the scripts of the cases into target/review/. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for script in review/[1-5]/case.ts; do
  [ -e "$script" ] || continue
  number=$(basename "$(dirname "$script")")
  npx --no-install esbuild "$script" --bundle --platform=node --format=esm --log-level=warning \
    --outfile="target/review/case-$number.mjs"
done
