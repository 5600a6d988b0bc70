package org.micabarrow.views;

import java.util.Objects;

/**
 * What a process tells others of when a weight version was named, for those that learned of it late.
 *
 * @param model the model
 * @param version the weight version
 * @param notBeforeMillis a time on the monotonic clock of whoever holds the account before which the version was not
 *     named
 */
public record NamingAccount(String model, long version, long notBeforeMillis) {

    /** Checks that no component is null. */
    public NamingAccount {
        Objects.requireNonNull(model, "model is null");
    }
}
