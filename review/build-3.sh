#!/bin/sh
# Builds the program that runs the scripts of the third review, with all its stand-ins. It needs no
# package: only the compiler and its standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -D warnings -o target/review-third review/third_main.rs
