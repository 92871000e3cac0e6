#!/bin/sh
# Builds the stand-ins of the cases in review/4 and above: the store, the runners and the clients, one program.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/standin-2 ./review/.standin-2
