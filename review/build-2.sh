#!/bin/sh
# Builds the stand-ins and drivers of the scripts of the second review. Needs the build of the deploy file before.
set -e
cd "$(dirname "$0")/.."
for case in review/stand-ins-2/case-*.ts; do
  node_modules/.bin/esbuild "$case" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review-2/$(basename "$case" .ts).mjs" --log-level=warning
done
