package org.micabarrow.views;

/**
 * An offset of a topic together with the era of the store in which it was given out, as one number. When the store
 * continues from an older copy, its era rises and it gives out offsets again; the number of a later era is greater than
 * any of an earlier one. In era 0, which is also that of a store that states none, it equals the offset.
 *
 * <pre>{@code
 * long read = EraOffset.of(2, 17);
 * EraOffset.era(read);    // 2
 * EraOffset.offset(read); // 17
 * }</pre>
 */
public final class EraOffset {

    private static final int OFFSET_BITS = 48;

    /** The greatest offset, and the last of an era. */
    private static final long MAX_OFFSET = (1L << OFFSET_BITS) - 1;

    private static final long MAX_ERA = Long.MAX_VALUE >> OFFSET_BITS;

    private EraOffset() {}

    /**
     * Creates the number of an offset.
     *
     * @param era the era, at least 0
     * @param offset the offset within the topic, at least 0
     * @return the number
     * @throws IllegalArgumentException if either does not fit
     */
    public static long of(long era, long offset) {
        if (!isEra(era)) {
            throw new IllegalArgumentException("era " + era + " is not between 0 and " + MAX_ERA);
        }
        if (!isOffset(offset)) {
            throw new IllegalArgumentException("offset " + offset + " is not between 0 and " + MAX_OFFSET);
        }
        return era << OFFSET_BITS | offset;
    }

    /**
     * Returns whether a number that the store stated can be an era.
     *
     * @param era the number
     * @return true if it is not negative and fits beside an offset
     */
    public static boolean isEra(long era) {
        return era >= 0 && era <= MAX_ERA;
    }

    /**
     * Returns whether a number that the store stated can be an offset.
     *
     * @param offset the number
     * @return true if it is not negative and fits beside an era
     */
    public static boolean isOffset(long offset) {
        return offset >= 0 && offset <= MAX_OFFSET;
    }

    /**
     * Returns the era of a number.
     *
     * @param eraOffset the number
     * @return its era
     */
    public static long era(long eraOffset) {
        return eraOffset >> OFFSET_BITS;
    }

    /**
     * Returns a number as it is logged.
     *
     * @param eraOffset the number
     * @return its offset, and its era after the first one
     */
    public static String toLog(long eraOffset) {
        String offset = "offset=" + offset(eraOffset);
        return era(eraOffset) == 0 ? offset : offset + " era=" + era(eraOffset);
    }

    /**
     * Returns the offset of a number, as the store knows it.
     *
     * @param eraOffset the number
     * @return its offset within the topic
     */
    public static long offset(long eraOffset) {
        return eraOffset & MAX_OFFSET;
    }
}
