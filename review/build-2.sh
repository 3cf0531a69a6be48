#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases-2 ./review/cases-2
