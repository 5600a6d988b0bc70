package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One start of an endpoint. An endpoint that starts again keeps its id, but holds nothing of before and knows nothing of
 * it: whatever is believed of an endpoint is believed of one start.
 *
 * @param id the endpoint's id
 * @param startedMillis the Unix millisecond of the start; empty if the endpoint does not tell it
 */
public record EndpointStart(String id, OptionalLong startedMillis) {

    /**
     * The count of tokens, so that one has at most six digits: bytes between regions are paid for. Two starts of an endpoint have
     * the same token if they are whole multiples of 1,000 s apart, to the millisecond.
     */
    private static final int TOKENS = 1_000_000;

    /** Checks that nothing is missing. */
    public EndpointStart {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(startedMillis, "startedMillis is null");
    }

    /**
     * A start of an endpoint that does not tell when it was.
     *
     * @param id the endpoint's id
     * @return the only start of the endpoint that there is
     */
    public static EndpointStart untold(String id) {
        return new EndpointStart(id, OptionalLong.empty());
    }

    /**
     * What an agent names the start of its endpoint by.
     *
     * @param startedMillis the Unix millisecond of the start; empty if the endpoint does not tell it
     * @return a token that another start of the endpoint does not have; empty if the start is not told
     */
    public static OptionalInt token(OptionalLong startedMillis) {
        return startedMillis.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(Math.floorMod(startedMillis.getAsLong(), TOKENS));
    }

    /**
     * Whether a token names this start.
     *
     * @param token the token that an agent told; empty if its endpoint does not tell when it was started
     * @return true also if the token or the start is not told
     */
    public boolean mayBe(OptionalInt token) {
        OptionalInt own = token(startedMillis);
        return own.isEmpty() || token.isEmpty() || own.equals(token);
    }
}
