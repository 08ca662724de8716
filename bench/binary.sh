#!/usr/bin/env bash
# Builds dist/monsoonpier, one file that runs every subcommand as one process,
# and measures its size, start times and where it unpacks.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
mkdir -p dist
PIP_CONSTRAINT=requirements.lock "$bin/shiv" --quiet --compressed \
    --console-script monsoonpier --python "/usr/bin/env python3" \
    --output-file dist/monsoonpier . >/dev/null
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
export SHIV_ROOT="$root"
timed() {
    local began ended
    began=$(date +%s%N)
    "$bin/python" dist/monsoonpier --version >/dev/null
    ended=$(date +%s%N)
    echo $(((ended - began) / 1000000))
}
first=$(timed)
later=$(for _ in 1 2 3 4 5; do timed; done | sort -n | sed -n 3p)
size=$(stat -c %s dist/monsoonpier)
unpacked=$(du -sk "$root" | cut -f1)
echo "{\"file\": \"dist/monsoonpier\", \"bytes\": $size, \"first_start_ms\": $first, \"later_start_ms\": $later, \"unpacked_kib\": $unpacked, \"unpacks_to\": \"SHIV_ROOT, by default ~/.shiv\"}"
