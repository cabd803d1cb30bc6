#!/bin/sh
# Builds what the scripts of cases 6 to 9 start beside the gateway: the project's own
# renderer of the settings template. The other stand-ins are plain JavaScript.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
node review/common-2/build.mjs
for file in review/common-2/*.mjs review/[6-9]/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
