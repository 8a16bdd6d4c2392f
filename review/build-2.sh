#!/bin/bash
# Builds the stand-ins of the cases 6 to 10; the gateway itself is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
