package org.micabarrow.admission;

import java.util.Objects;

/**
 * The recent use of an organisation.
 *
 * @param token identifies the organisation, see {@link #token}
 * @param tokensPerSecond the decayed number of prompt and answer tokens per second that its requests used
 */
public record OrganisationUsage(int token, int tokensPerSecond) {

    /** Creates a usage; a negative one is taken as 0. */
    public OrganisationUsage {
        tokensPerSecond = Math.max(0, tokensPerSecond);
    }

    /**
     * Returns the number that identifies an organisation in messages, which is the same in all processes.
     *
     * @param organisation its name
     * @return a hash of the name
     */
    public static int token(String organisation) {
        return Objects.requireNonNull(organisation, "organisation is null").hashCode();
    }
}
