#!/usr/bin/env bash
# Checks format and lint of the hand-written code.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/tools.sh
files=$(git ls-files -co --exclude-standard '*.go' | grep -Ev '^serving/(gen|peerpb)/')
bad=$(printf '%s\n' "$files" | xargs .bin/gofumpt -l)
if [ -n "$bad" ]; then
  printf 'not formatted by gofumpt:\n%s\n' "$bad"
  exit 1
fi
for module in core serving platform tools; do
  (cd "$module" && ../.bin/golangci-lint run ./...)
done

# The platform's names are decoded in platform/ alone; the emulator takes them
# from there.
leak=$(git grep -lE 'X-(Attempt-Id|Replica-|Expect-Replica|Helpers|Token-Counts|Not-Executed|Tenant|Deadline-Ms|Request-Priority)|Api-Key|op/config|Server-(Leaving|Limit)|api/(kv-|report|order|ready)|traffic_split|seed_addrs' -- '*.go' ':!platform/' || true)
if [ -n "$leak" ]; then
  printf 'names of the platform outside platform/:\n%s\n' "$leak"
  exit 1
fi
