#!/usr/bin/env bash
# Builds what deploy/system.toml runs, all of it under target/: the program, a runtime that holds only the modules that
# it needs, and for each role a cache of the classes that it loads, linked, without which a process on a small instance takes
# twice as long to start. A process loads all classes of its cache at its start, so each role has one of its own. The caches
# are named as archives of classes, since the platform sets -Xshare, which their own option does not bear. A JDK before
# version 25 writes no such cache; the processes then start without one.
set -eu
cd "$(dirname "$0")/.."
. scripts/java.sh
mvn -q -B -ntp -DskipTests package
rm -rf target/runtime target/entry.aot target/agent.aot
"$JAVA_HOME/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages --generate-cds-archive \
    --add-modules java.base,java.logging,java.management,java.naming,java.sql,java.xml,jdk.unsupported,java.security.jgss
java=target/runtime/bin/java
role() {
    echo "$java -XX:+UseSerialGC -XX:+IgnoreUnrecognizedVMOptions --enable-native-access=ALL-UNNAMED" \
        "-Djdk.reflect.useNativeAccessorOnly=true -Djavax.management.builder.initial=none" \
        "-XX:AOTCacheOutput=target/$1.aot -Xlog:disable -cp target/micabarrow.jar org.micabarrow.command.Main hosted-$1"
}
"$java" -cp target/micabarrow.jar org.micabarrow.command.Main rehearse \
    --entry "$(role entry)" --agent "$(role agent)" >target/rehearse.log 2>&1 || {
    cat target/rehearse.log >&2
    exit 1
}
