#!/bin/sh
# Builds the stand-ins and the tests of the cases 6 to 10 into review/parts-2/target. Needs the JDK only.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
target=$here/parts-2/target
rm -rf "$target"
mkdir -p "$target"
set -- "$here"/parts-2/src/review2/*.java
for folder in 6 7 8 9 10; do
    for file in "$here/$folder"/*.java; do
        if [ -f "$file" ]; then
            set -- "$@" "$file"
        fi
    done
done
javac -Xlint:all -encoding UTF-8 --release 17 -d "$target" "$@"
