#!/bin/sh
# Runs case 3; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$folder/../standin/target/release/review_standin"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/platform-entry" ]; then
    echo "build first: cargo build --release --package sparscale_platform, then review/build.sh" >&2
    exit 2
fi
exec timeout 110 "$program" case3 "$root" "$folder/record.txt"
