#!/bin/bash
# Builds the stand-ins of the script cases. It needs no network: they use the project's own modules.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/cases
