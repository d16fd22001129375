#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and after it start: one program, target/review-2/cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/_cases-2
