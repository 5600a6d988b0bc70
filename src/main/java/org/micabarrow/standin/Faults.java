package org.micabarrow.standin;

/**
 * Faults injected into the platform stand-in.
 *
 * @param logDown whether the log rejects all requests
 * @param logSlowMillis delay added to each append
 * @param loseAppendAnswers whether appends are stored but answered with an error
 * @param storeDown whether the weight store rejects all requests
 * @param storeSlowMillis delay added to each chunk read from the store
 * @param corruptOneIn corrupts every n-th chunk; 0 for none
 * @param listDown whether the instance list rejects all requests
 */
public record Faults(
        boolean logDown,
        long logSlowMillis,
        boolean loseAppendAnswers,
        boolean storeDown,
        long storeSlowMillis,
        int corruptOneIn,
        boolean listDown) {

    /**
     * Returns a configuration without faults.
     *
     * @return no faults
     */
    public static Faults none() {
        return new Faults(false, 0, false, false, 0, 0, false);
    }
}
