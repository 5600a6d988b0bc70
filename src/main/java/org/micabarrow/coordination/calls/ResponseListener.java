package org.micabarrow.coordination.calls;

/** Receives the parts of one attempt's response, in order, one call at a time. */
public interface ResponseListener {

    /**
     * Called when the response starts.
     *
     * @param head the head of the response
     */
    void onHead(ResponseHead head);

    /**
     * Called for each part of the body.
     *
     * @param data the bytes
     * @param more the listener runs it when it is ready for the next part
     */
    void onData(byte[] data, Runnable more);

    /**
     * Called when the attempt has ended; no call follows.
     *
     * @param outcome how the attempt ended
     */
    void onEnd(Outcome outcome);
}
