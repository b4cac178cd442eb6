#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standins-2 ./review/standins-2
