#!/usr/bin/env bash
# Writes the generated code anew: goa's from serving/design and the messages
# between daemons from serving/proto.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/tools.sh generate
export PATH="$PWD/.bin:$PATH"
(cd serving && go generate ./design >/dev/null)
(cd serving/proto && buf generate)
