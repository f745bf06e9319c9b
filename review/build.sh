#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --locked --offline --target-dir target
