#!/usr/bin/env bash
# Builds the stand-ins of the cases. The gateway itself is built by the `build` line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
