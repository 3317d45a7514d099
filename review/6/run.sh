#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run (see review/parts-2/play.sh).
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../parts-2/play.sh" "$here" ManyCommands
