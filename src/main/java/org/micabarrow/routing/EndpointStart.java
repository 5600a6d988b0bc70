package org.micabarrow.routing;

import java.util.Objects;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * One start of an endpoint. An endpoint that restarts keeps its id but no state, so everything known about an endpoint
 * is kept per start.
 *
 * @param id the endpoint's id
 * @param startedMillis the Unix time of the start in milliseconds; empty if the endpoint does not report it
 */
public record EndpointStart(String id, OptionalLong startedMillis) {

    /**
     * Number of distinct tokens. It keeps tokens to six digits, since traffic between regions is billed. Two starts of
     * an endpoint share a token if they are an exact multiple of 1,000 s apart, to the millisecond.
     */
    private static final int TOKEN_COUNT = 1_000_000;

    private static final int HASH_FACTOR = 31;

    public EndpointStart {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(startedMillis, "startedMillis is null");
    }

    // Written out, since starts are looked up for each endpoint of each decision, and the methods that a record is
    // given
    // take several times as long where only the first compiler runs.

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointStart start && id.equals(start.id) && startedMillis.equals(start.startedMillis);
    }

    @Override
    public int hashCode() {
        return id.hashCode() * HASH_FACTOR + startedMillis.hashCode();
    }

    /**
     * Returns the start of an endpoint that does not report its start time.
     *
     * @param id the endpoint's id
     * @return the only start known for this endpoint
     */
    public static EndpointStart ofUnknownTime(String id) {
        return new EndpointStart(id, OptionalLong.empty());
    }

    /**
     * Returns whether this start came after another.
     *
     * @param other another start of the same endpoint
     * @return false also if one of the two times is not reported
     */
    public boolean isLaterThan(EndpointStart other) {
        return startedMillis.isPresent()
                && other.startedMillis.isPresent()
                && startedMillis.getAsLong() > other.startedMillis.getAsLong();
    }

    /**
     * Returns the token by which an agent identifies the start of its endpoint.
     *
     * @param startedMillis the Unix time of the start in milliseconds; empty if the endpoint does not report it
     * @return a token that differs from those of the endpoint's other starts; empty if the start time is not reported
     */
    public static OptionalInt token(OptionalLong startedMillis) {
        return startedMillis.isEmpty()
                ? OptionalInt.empty()
                : OptionalInt.of(Math.floorMod(startedMillis.getAsLong(), TOKEN_COUNT));
    }

    /**
     * Returns whether a token may identify this start.
     *
     * @param token the token reported by an agent; empty if its endpoint does not report its start time
     * @return true also if the token or the start time is not reported
     */
    public boolean mayHaveToken(OptionalInt token) {
        OptionalInt own = token(startedMillis);
        return own.isEmpty() || token.isEmpty() || own.equals(token);
    }
}
