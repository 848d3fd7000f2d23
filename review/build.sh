#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -b packages/gypsumwall-emulator
