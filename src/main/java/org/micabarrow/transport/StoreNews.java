package org.micabarrow.transport;

import java.util.Objects;
import org.micabarrow.views.LastChanges;

/**
 * What an entry that is in touch with the store tells agents nearby, so that they need not ask the store whether there is news.
 *
 * @param port the port at which the entry can be asked for records
 * @param changes where the last changes stand that it knows of
 */
public record StoreNews(int port, LastChanges changes) {

    /** Checks that nothing is missing. */
    public StoreNews {
        Objects.requireNonNull(changes, "changes is null");
    }
}
