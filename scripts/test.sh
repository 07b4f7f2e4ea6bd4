#!/usr/bin/env bash
# The whole test: format, lint, vet, generated code, race tests.
set -euo pipefail
cd "$(dirname "$0")/.."
echo '== lint'
scripts/lint.sh
echo '== vet'
go vet work
echo '== generated code'
scripts/generated.sh
echo '== tests'
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
if [ -n "$red" ]; then
  printf 'passed over, see KNOWN-RED.txt: %s\n' "$red"
  go test -race -timeout 8m -skip "^($red)\$" work
else
  go test -race -timeout 8m work
fi
