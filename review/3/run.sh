#!/bin/sh
# TROUBLE=0 runs the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec sh "$(dirname "$0")/../case.sh" "$(dirname "$0")" Case3
