#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, and the driver that starts them, into target/. The product itself is
# built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/_cases
