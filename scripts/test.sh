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
go test -race -shuffle=off -timeout 8m work
