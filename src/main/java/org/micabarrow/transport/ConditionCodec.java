package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointCondition;

/** Encodes the condition of an endpoint in the replies of its agent. */
final class ConditionCodec {

    private static final int BYTES = 2 * Integer.BYTES + Float.BYTES + 2 * Long.BYTES;

    /** Stands for a number that the endpoint does not report; no reported one is negative. */
    private static final int ABSENT = -1;

    private ConditionCodec() {}

    static ByteBuffer write(EndpointCondition condition) {
        ByteBuffer content = ByteBuffer.allocate(BYTES);
        content.putInt(condition.running());
        content.putInt(condition.queued());
        content.putFloat((float) condition.pace().orElse(ABSENT));
        content.putLong(condition.kvUsed().orElse(ABSENT));
        content.putLong(condition.kvTotal().orElse(ABSENT));
        return content.flip();
    }

    static EndpointCondition read(ByteBuffer content) {
        int running = content.getInt();
        int queued = content.getInt();
        float pace = content.getFloat();
        return new EndpointCondition(
                running,
                queued,
                pace > 0 ? OptionalDouble.of(pace) : OptionalDouble.empty(),
                readNumber(content),
                readNumber(content));
    }

    private static OptionalLong readNumber(ByteBuffer content) {
        long number = content.getLong();
        return number < 0 ? OptionalLong.empty() : OptionalLong.of(number);
    }
}
