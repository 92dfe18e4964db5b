#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network: the package
# uses the standard library only. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline \
    --manifest-path review/standins-3/Cargo.toml
