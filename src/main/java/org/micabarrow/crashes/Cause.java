package org.micabarrow.crashes;

/** A possible cause of an endpoint's crash: the content of a request, or a part that the prompts of requests share. */
public sealed interface Cause permits RequestDigest, PromptPart {

    /**
     * Returns the description by which logs and refusals name the cause.
     *
     * @return its kind and id
     */
    String description();
}
