#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; the system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
shopt -s nullglob
javac -nowarn -d target/review-2 review/lib2/*.java review/[6-9]/*.java review/10/*.java
