# Sets JAVA_HOME to a JDK of version 21 or newer. To be read by other scripts.
for home in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -x "$home/bin/javac" ] || continue
    version=$("$home/bin/javac" -version 2>&1 | sed -n '1s/javac \([0-9]*\).*/\1/p')
    if [ "${version:-0}" -ge 21 ]; then
        JAVA_HOME=$home
        export JAVA_HOME
        break
    fi
done
if [ -z "${JAVA_HOME:-}" ]; then
    echo "a JDK of version 21 or newer is needed; set JAVA_HOME" >&2
    exit 1
fi
