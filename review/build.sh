#!/bin/sh
# Builds what the scripts of the cases start beside the gateway: the project's own
# renderer of the settings template. The other stand-ins are plain JavaScript.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
node review/common/build.mjs
for file in review/common/*.mjs review/*/*.mjs; do
  node --check "$file"
done
