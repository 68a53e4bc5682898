#!/bin/sh
# Builds the stand-ins of the third review, without a network. Run it from anywhere, after the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/stand-in-3"
exec cargo build --release --offline --locked
