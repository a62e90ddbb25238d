#!/usr/bin/env bash
# Builds the driver and the stand-ins of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/casework2
