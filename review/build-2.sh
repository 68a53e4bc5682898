#!/bin/sh
# Builds the stand-ins and cases of the second review; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-in-2/Cargo.toml
