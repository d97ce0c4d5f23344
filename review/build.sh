#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: there is nothing to build.
set -euo pipefail
command -v /usr/bin/python3 >/dev/null
