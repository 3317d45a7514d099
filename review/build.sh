#!/bin/sh
# Builds the stand-ins and drivers of all cases, with the JDK alone; run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:all -Werror -encoding UTF-8 -d target/classes standins/*.java [123]/*.java
