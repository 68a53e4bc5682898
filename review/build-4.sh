#!/bin/sh
# Builds the stand-ins of the cases of the fourth review, without a network.
set -e
cd "$(dirname "$0")/stand-in-4"
cargo build --release --locked --offline --target-dir ../../target/review-4
