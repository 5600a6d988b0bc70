package org.micabarrow.admission;

import java.util.Objects;
import org.micabarrow.routing.EndpointLoad;

/**
 * The room that one sending of a request takes at its endpoint: it is taken, the prompt is read when the answer begins, and it
 * is free again. Each step that frees something has the line of waiting requests looked through. Used by one thread.
 */
public final class OccupiedSlot {

    private final EndpointLoad load;
    private final int promptTokens;
    private final Runnable roomMayBe;
    private boolean promptRead;

    /**
     * Takes the room.
     *
     * @param load the endpoint's load
     * @param promptTokens the tokens of the request's prompt
     * @param roomMayBe run whenever something has been freed
     */
    public OccupiedSlot(EndpointLoad load, int promptTokens, Runnable roomMayBe) {
        this.load = Objects.requireNonNull(load, "load is null");
        this.promptTokens = promptTokens;
        this.roomMayBe = Objects.requireNonNull(roomMayBe, "roomMayBe is null");
        load.began(promptTokens);
    }

    /** The endpoint has read the prompt; nothing happens if it had already. */
    public void promptRead() {
        if (!promptRead) {
            promptRead = true;
            load.promptRead(promptTokens);
            roomMayBe.run();
        }
    }

    /**
     * Whether the endpoint has begun the request.
     *
     * @return true once its prompt is read, or the room is free
     */
    public boolean begun() {
        return promptRead;
    }

    /** The sending is over; called once. */
    public void free() {
        promptRead();
        load.ended();
        roomMayBe.run();
    }
}
