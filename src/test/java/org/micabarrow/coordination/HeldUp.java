package org.micabarrow.coordination;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A call that lasts until its thread is interrupted and then takes a moment to end, as a call on a socket does. The moment
 * is over when its owner has closed everything, if that does not wait for the call.
 */
public final class HeldUp {

    /** Far shorter than an owner waits for the end, far longer than an owner that does not wait takes. */
    private static final long MOMENT_MILLIS = 300;

    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch closed = new CountDownLatch(1);
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger callsAfterClose = new AtomicInteger();

    /** What the fake's call does. */
    public void call() {
        calls.incrementAndGet();
        if (closed.getCount() == 0) {
            callsAfterClose.incrementAndGet();
            return;
        }
        begun.countDown();
        try {
            closed.await();
        } catch (InterruptedException e) {
            takeMoment();
            Thread.currentThread().interrupt();
        }
    }

    private void takeMoment() {
        try {
            closed.await(MOMENT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    public void awaitBegun() throws InterruptedException {
        begun.await();
    }

    /** Tells that the owner's {@code close} has returned: what the call used is closed from now on. */
    public void ownerHasClosed() {
        closed.countDown();
    }

    public int calls() {
        return calls.get();
    }

    public int callsAfterClose() {
        return callsAfterClose.get();
    }
}
