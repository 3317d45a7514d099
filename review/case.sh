#!/bin/sh
# Runs one case: case.sh FOLDER DRIVER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$1" && pwd) || exit 2
review=$(dirname "$here")
root=$(dirname "$review")
if [ ! -f "$review/target/classes/$2.class" ] || [ ! -f "$root/target/sedgeyoke.jar" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
trap 'exit 2' INT TERM
timeout -k 3 115 java -XX:TieredStopAtLevel=1 -Xmx512m -cp "$review/target/classes" "$2" "$root" "$here/record.txt" "$temp"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
