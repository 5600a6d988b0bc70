package org.micabarrow.play;

/**
 * What is played.
 *
 * @param entries how many entries
 * @param endpoints how many endpoints
 * @param crashers how many requests end endpoints
 * @param atOnce whether they all begin to come at the same time, else in turn
 * @param killedShare the part of the endpoints that is killed each ten seconds
 * @param hallLost whether a third of the endpoints loses its power on the way
 * @param prompts the parts of prompts
 * @param seed decides all that is random
 */
record CrashSetting(
        int entries,
        int endpoints,
        int crashers,
        boolean atOnce,
        double killedShare,
        boolean hallLost,
        double streams,
        PlayedPrompts.Setting prompts,
        long seed) {

    CrashSetting(
            int entries,
            int endpoints,
            int crashers,
            boolean atOnce,
            double killedShare,
            boolean hallLost,
            double streams,
            long seed) {
        this(entries, endpoints, crashers, atOnce, killedShare, hallLost, streams, PlayedPrompts.Setting.NONE, seed);
    }
}
