#!/bin/sh
# Builds the stand-ins of the cases' scripts, offline.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/.standin
