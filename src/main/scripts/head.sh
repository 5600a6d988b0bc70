#!/bin/sh
# micabarrow: this text starts Java on the archive that follows it in the same file.
# Memory is bounded here so that an agent stays under 256 MB; MICABARROW_JAVA_OPTIONS adds options.
java_version() {
    "$1" -version 2>&1 | sed -n '1s/[^"]*"\([0-9]*\).*/\1/p'
}
java=
for home in "$MICABARROW_JAVA_HOME" "$JAVA_HOME" /usr/lib/jvm/*; do
    [ -x "$home/bin/java" ] || continue
    version=$(java_version "$home/bin/java")
    [ "${version:-0}" -ge 21 ] && java="$home/bin/java" && break
done
if [ -z "$java" ]; then
    echo "micabarrow: Java 21 or newer is needed; set JAVA_HOME" >&2
    exit 2
fi
unsafe=
[ "$version" -ge 23 ] && unsafe=--sun-misc-unsafe-memory-access=allow
case "$1" in
    agent) memory="-Xms24m -Xmx96m -XX:MaxMetaspaceSize=72m -XX:MaxDirectMemorySize=40m -XX:ReservedCodeCacheSize=40m -Xss512k" ;;
    entry) memory="-Xms24m -Xmx112m -XX:MaxMetaspaceSize=72m -XX:MaxDirectMemorySize=40m -XX:ReservedCodeCacheSize=40m -Xss512k" ;;
    standin) memory="-Xmx1g" ;;
    demo) memory="-Xmx256m" ;;
    *) memory="-Xmx64m -XX:TieredStopAtLevel=1" ;;
esac
exec "$java" $memory -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError -Xshare:auto \
    --enable-native-access=ALL-UNNAMED $unsafe \
    -Dio.grpc.netty.shaded.io.netty.allocator.numDirectArenas=2 -Dio.grpc.netty.shaded.io.netty.allocator.numHeapArenas=1 \
    -Dio.grpc.netty.shaded.io.netty.allocator.maxOrder=7 \
    $MICABARROW_JAVA_OPTIONS -jar "$0" "$@"
