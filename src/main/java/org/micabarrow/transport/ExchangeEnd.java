package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Runs actions when an exchange ends: when it has completed, or when its connection is closed before. Used on the thread of the
 * connection.
 */
public final class ExchangeEnd {

    private static final AttachmentKey<ExchangeEnd> CURRENT = AttachmentKey.create(ExchangeEnd.class);

    private final List<Runnable> actions = new ArrayList<>();
    private HttpServerExchange exchange;

    private ExchangeEnd() {}

    /**
     * Adds an action.
     *
     * @param exchange the exchange
     * @param action run once, when the exchange ends
     */
    public static void add(HttpServerExchange exchange, Runnable action) {
        Objects.requireNonNull(exchange, "exchange is null");
        of(exchange).actions.add(Objects.requireNonNull(action, "action is null"));
    }

    /** A connection serves one exchange at a time, and keeps its close listeners, so one is enough for all exchanges. */
    private static ExchangeEnd of(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        ExchangeEnd current = connection.getAttachment(CURRENT);
        if (current == null) {
            current = new ExchangeEnd();
            connection.putAttachment(CURRENT, current);
            connection.addCloseListener(closed -> closed.getAttachment(CURRENT).end());
        }
        current.begin(exchange);
        return current;
    }

    private void begin(HttpServerExchange next) {
        if (exchange == next) {
            return;
        }
        end();
        exchange = next;
        next.addExchangeCompleteListener((same, following) -> {
            end();
            following.proceed();
        });
    }

    private void end() {
        exchange = null;
        List<Runnable> due = List.copyOf(actions);
        actions.clear();
        due.forEach(Runnable::run);
    }
}
