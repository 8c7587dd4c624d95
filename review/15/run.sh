#!/bin/sh
# A machine is added while its seeds are stale, and is then cut off from the replicas; TROUBLE=0 leaves both out.
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/review-standin-2
[ -x "$program" ] && [ -x target/release/pollentallyd ] || exit 2
exec "$program" stale-seeds review/15
