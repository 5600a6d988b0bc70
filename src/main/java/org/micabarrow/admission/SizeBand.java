package org.micabarrow.admission;

import java.util.Locale;

/** How large a request is among those of its kind. */
public enum SizeBand {
    /** Among the smaller seven tenths, or nothing is known of the others yet. */
    USUAL,
    /** Among the fifth beneath the largest tenth. */
    LARGE,
    /** Among the largest tenth. */
    LARGEST;

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name in lower case
     */
    public String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
