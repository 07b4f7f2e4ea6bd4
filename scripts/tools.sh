#!/usr/bin/env bash
# Installs the pinned formatter, linter and generators into .bin.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOBIN="$PWD/.bin" GOWORK=off
mkdir -p "$GOBIN"

# install NAME MODULE@VERSION: builds NAME unless this version is there.
install() {
  local stamp="$GOBIN/.$1-${2##*@}"
  if [ ! -e "$stamp" ]; then
    go install "$2"
    touch "$stamp"
  fi
}

install gofumpt mvdan.cc/gofumpt@v0.12.0
install golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
if [ "${1:-}" = generate ]; then
  install buf github.com/bufbuild/buf/cmd/buf@v1.75.0
  install protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
  install protoc-gen-go-grpc google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2
fi
