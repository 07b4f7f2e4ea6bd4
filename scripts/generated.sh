#!/usr/bin/env bash
# Checks that the committed generated code is what the generators write.
set -euo pipefail
cd "$(dirname "$0")/.."
sum() { find serving/gen serving/peerpb -type f -print0 | sort -z | xargs -0 sha256sum; }
before=$(sum)
scripts/generate.sh
after=$(sum)
if [ "$before" != "$after" ]; then
  diff <(printf '%s\n' "$before") <(printf '%s\n' "$after") || true
  echo 'generated code was out of date'
  exit 1
fi
