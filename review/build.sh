#!/bin/sh
# Builds the stand-ins and clients that the scripts in this folder start. They use the standard
# library only, so that nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/stand_in review/stand_in/main.rs
