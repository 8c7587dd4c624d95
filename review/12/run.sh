#!/bin/sh
# A request crashes its replicas, and its host sends harmless ones to the same path; TROUBLE=0 leaves it out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/standin-3 deadly-query review/12/record.txt
