#!/bin/sh
# Sends requests that may run once while a replica sends some of its refusals twice.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
command -v python3 >/dev/null || exit 2
exec timeout -k 5 118 python3 "$folder/case.py"
