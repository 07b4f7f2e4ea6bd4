#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs no network where the modules of the
# workspace are at hand.
set -euo pipefail
cd "$(dirname "$0")/../tools"
go build -o ../target/review-2 ../review/standin-2/*.go
