package org.micabarrow.coordination.calls;

/** Receives the parts of one attempt's answer, in order, one call at a time. */
public interface AnswerListener {

    /**
     * The answer begins.
     *
     * @param head what it is and where it is made
     */
    void onHead(AnswerHead head);

    /**
     * The next part of the body.
     *
     * @param data the bytes
     * @param more to be run when the next part may come
     */
    void onData(byte[] data, Runnable more);

    /**
     * The attempt has ended; nothing follows.
     *
     * @param outcome how
     */
    void onEnd(Outcome outcome);
}
