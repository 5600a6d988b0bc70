# Builds target/micabarrow unless it is newer than every source. To be read by other scripts, after java.sh.
if [ ! -x target/micabarrow ] || [ -n "$(find src pom.xml -newer target/micabarrow -print -quit)" ]; then
    echo "building ..." >&2
    mkdir -p target
    mvn -q -B -DskipTests package >target/build.log 2>&1 || { cat target/build.log >&2; exit 1; }
fi
