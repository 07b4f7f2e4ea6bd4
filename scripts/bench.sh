#!/usr/bin/env bash
# Measures one daemon in a process of its own, on two cores, between stand-in
# engines and the load of `carobspoke bench`. Arguments go to that command.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
go build -o "$work" ./serving/cmd/carobspoked ./tools/cmd/carobspoke
"$work/carobspoke" dev --separate "$work/settings" --speedup "${SPEEDUP:-100}" --daemons 1 --listen 127.0.0.1:18080 >"$work/standins.log" &
standins=$!
trap 'kill "$daemon" "$standins" 2>/dev/null; wait; rm -r "$work"' EXIT
daemon=
until [ -s "$work/settings/daemon-1.toml" ] && grep -q Try "$work/standins.log"; do sleep 0.1; done
GOMAXPROCS=2 "$work/carobspoked" --config "$work/settings/daemon-1.toml" 2>"$work/daemon.log" &
daemon=$!
admin=$(sed -n "/^\[admin\]/,/^\[/s/^listen = '\(.*\)'/\1/p" "$work/settings/daemon-1.toml")
until "$work/carobspoke" status --admin "$admin" --key dev-admin >/dev/null 2>&1; do sleep 0.2; done
engines=$(sed -n 's/^engine \(.*\)/--engine \1/p' "$work/standins.log")
# shellcheck disable=SC2086
"$work/carobspoke" bench --daemon http://127.0.0.1:18080 --key standin-customer-a --pid "$daemon" $engines "$@"
