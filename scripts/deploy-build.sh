#!/usr/bin/env bash
# Builds what deploy/system.toml runs, all of it under target/: the program, a runtime that holds only the modules that
# it needs, and a cache of loaded and linked classes, without which a process on a small instance takes twice as long to
# start. The cache is named as an archive of classes, since the platform sets -Xshare, which its own option does not bear. A
# JDK before version 25 writes no such cache; the processes then start without one.
set -eu
cd "$(dirname "$0")/.."
. scripts/java.sh
mvn -q -B -ntp -DskipTests package
rm -rf target/runtime target/app.aot
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages --generate-cds-archive \
    --add-modules java.base,java.logging,java.management,java.naming,java.sql,java.xml,jdk.unsupported,java.security.jgss
target/runtime/bin/java -XX:+UseSerialGC -XX:+IgnoreUnrecognizedVMOptions --enable-native-access=ALL-UNNAMED -XX:AOTCacheOutput=target/app.aot -Xlog:disable \
    -cp target/micabarrow.jar org.micabarrow.command.Main rehearse >target/rehearse.log 2>&1 || {
    cat target/rehearse.log >&2
    exit 1
}
