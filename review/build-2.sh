#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The node is built by the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review_2 review/stand_in_2/main.rs
