#!/bin/sh
# Builds the stand-ins of the third review, which the scripts review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/standins-3
