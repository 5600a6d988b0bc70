package org.micabarrow.platform;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.micabarrow.headers.HeaderFields;

/** The header fields that concern one connection and are not passed on (RFC 9110, 7.6.1). */
final class ConnectionFields {

    private static final String CONNECTION = "Connection";

    private static final Set<String> NAMES = Set.of(
            CONNECTION,
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Content-Length");

    /** Fields that are meant for the other end, which no sender may declare as those of a connection. */
    private static final Set<String> END_TO_END = Set.of(
            "Host",
            "Content-Type",
            "Content-Encoding",
            WireNames.ATTEMPT,
            WireNames.LAST_EVENT,
            WireNames.MODEL,
            WireNames.TOKENS,
            WireNames.PROMPT_PARTS,
            WireNames.LENGTH_HINT,
            WireNames.NOT_RUN,
            WireNames.SIGNATURE,
            WireNames.WEIGHT_VERSION,
            WireNames.LEAVING,
            WireNames.REST,
            WireNames.LIMIT,
            WireNames.COLD);

    private ConnectionFields() {}

    /** Returns a header without the fields that concern its connection. */
    static HeaderFields removeFrom(HeaderFields fields) {
        return fields.without(NAMES).without(listed(fields));
    }

    /** The names that the sender lists as fields of its connection. */
    private static List<String> listed(HeaderFields fields) {
        return fields.all(CONNECTION).stream()
                .flatMap(value -> Stream.of(value.split(",")))
                .map(String::trim)
                .filter(name -> END_TO_END.stream().noneMatch(name::equalsIgnoreCase))
                .toList();
    }
}
