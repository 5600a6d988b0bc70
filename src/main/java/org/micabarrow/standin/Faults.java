package org.micabarrow.standin;

/**
 * What goes wrong at the platform's stand-in.
 *
 * @param logDown whether the log refuses everything
 * @param logSlowMillis how long each append takes
 * @param loseAppendAnswers whether appends take effect but are answered with an error
 * @param storeDown whether the weight store refuses everything
 * @param storeSlowMillis how long each chunk of the store takes
 * @param corruptOneIn one chunk in so many is corrupted, 0 for none
 * @param listDown whether the list of instances refuses everything
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
     * Nothing goes wrong.
     *
     * @return no faults
     */
    public static Faults none() {
        return new Faults(false, 0, false, false, 0, 0, false);
    }
}
