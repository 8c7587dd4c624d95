#!/bin/sh
# Checks that the stand-ins can run: Python 3 with its standard library, and no compiled part.
# The scripts start the daemon that the build command of the deploy file has put into target/release.
set -e
folder=$(cd "$(dirname "$0")" && pwd)
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
for file in "$folder"/standin/*.py "$folder"/[1-5]/*.py; do
	[ -e "$file" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
