package org.micabarrow.routing;

/**
 * The figures of a service whose endpoints run a model.
 *
 * @param model the model's name
 * @param slots how many requests an endpoint runs at once
 * @param prefillTokensPerMilli prompt tokens that an endpoint reads in a millisecond
 * @param stepMillis the time of one token step
 * @param stepMillisPerSequence what each running request adds to a step, in milliseconds
 * @param stride the token steps that an endpoint runs before it looks at waiting prompts again
 * @param layers the layers of the model
 * @param chunks the chunks of one weight version
 * @param chunkBytes the size of a chunk
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
        int chunkBytes) {}
