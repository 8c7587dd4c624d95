#!/bin/sh
# Builds the stand-ins that the scripts of this review start: those of its own, and those of the second review
# for case 15. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standin-3 review/standin-3/main.rs
review/build-2.sh
