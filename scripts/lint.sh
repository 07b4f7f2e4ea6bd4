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
for module in core serving tools; do
  (cd "$module" && ../.bin/golangci-lint run ./...)
done
