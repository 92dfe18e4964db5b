#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts, without a network: they have no
# dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
