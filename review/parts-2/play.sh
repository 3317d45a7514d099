#!/bin/sh
# Plays one case: play.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$1" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
classes=$root/review/parts-2/target
if [ ! -f "$root/target/sedgeyoke.jar" ] || [ ! -f "$classes/review2/$2.class" ]; then
    echo "build the project with the build of deploy/balancer.toml, then run review/build-2.sh" >&2
    exit 2
fi
java -Xmx512m -cp "$classes" "review2.$2" "$root" "$here" &
player=$!
trap 'kill $player; wait $player; exit 2' INT TERM
wait $player
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # Case.BROKEN; a virtual machine that fails ends with 1
    *) exit 2 ;;
esac
