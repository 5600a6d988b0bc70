package org.micabarrow.routing;

/**
 * The performance parameters of a model as it runs on the endpoints of a service.
 *
 * @param model the model's name
 * @param slots the number of requests that an endpoint runs concurrently
 * @param prefillTokensPerMilli the prompt tokens that an endpoint processes per millisecond
 * @param stepMillis the duration of one token step
 * @param stepMillisPerSequence the time that each running request adds to a step, in milliseconds
 * @param stride the number of token steps that an endpoint runs before it processes waiting prompts again
 * @param layers the layers of the model
 * @param chunks the chunks of one weight version
 * @param chunkBytes the size of a chunk in bytes
 */
public record ModelProfile(
        String model,
        int slots,
        double prefillTokensPerMilli,
        double stepMillis,
        double stepMillisPerSequence,
        int stride,
        int layers,
        int chunks,
        int chunkBytes) {

    /**
     * Returns the duration of a pass that reads no prompt: the interval between two events of a stream.
     *
     * @param requests the number of running requests
     * @return milliseconds
     */
    public double passMillis(int requests) {
        return stride * (stepMillis + stepMillisPerSequence * requests);
    }
}
