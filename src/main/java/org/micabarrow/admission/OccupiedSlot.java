package org.micabarrow.admission;

import java.util.Objects;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RequestSize;

/**
 * The slot that one attempt of a request occupies at its endpoint. The prompt stops counting as pending when the
 * response begins, and the slot is released when the attempt ends; each of these steps triggers another pass over the
 * wait queue. Not thread-safe: confined to one thread.
 */
public final class OccupiedSlot {

    private final EndpointLoad load;
    private final RequestSize size;
    private final Runnable onCapacityFreed;
    private boolean promptRead;

    /**
     * Occupies a slot for a request of whose answer nothing is known.
     *
     * @param load the endpoint's load
     * @param promptTokens the tokens of the request's prompt
     * @param onCapacityFreed run whenever capacity has been freed
     */
    public OccupiedSlot(EndpointLoad load, int promptTokens, Runnable onCapacityFreed) {
        this(load, RequestSize.ofPrompt(promptTokens), onCapacityFreed);
    }

    /**
     * Occupies a slot.
     *
     * @param load the endpoint's load
     * @param size the size of the request, with the expected answer
     * @param onCapacityFreed run whenever capacity has been freed
     */
    public OccupiedSlot(EndpointLoad load, RequestSize size, Runnable onCapacityFreed) {
        this.load = Objects.requireNonNull(load, "load is null");
        this.size = Objects.requireNonNull(size, "size is null");
        this.onCapacityFreed = Objects.requireNonNull(onCapacityFreed, "onCapacityFreed is null");
        load.requestSent(size.promptTokens());
        load.memory().sent(size);
    }

    /** Records that the endpoint has processed the prompt. Idempotent. */
    public void promptRead() {
        if (!promptRead) {
            promptRead = true;
            load.promptRead(size.promptTokens());
            onCapacityFreed.run();
        }
    }

    /**
     * Returns whether the endpoint has started the request.
     *
     * @return true once its prompt is processed or the slot is released
     */
    public boolean started() {
        return promptRead;
    }

    /** Releases the slot at the end of the attempt. Must be called once. */
    public void release() {
        promptRead();
        load.requestEnded();
        load.memory().ended(size);
        onCapacityFreed.run();
    }
}
