#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: one program of the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig.rs
