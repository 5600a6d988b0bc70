package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.memory.BodyAdmission;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.MessageMemory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the memory that is held for the current request of each client connection, until the exchange has completed or the
 * connection has closed. Used by the traffic thread.
 */
final class ClientMemory {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private static final AttachmentKey<CurrentHolds> CURRENT = AttachmentKey.create(CurrentHolds.class);

    /**
     * The part of the limit, as a divisor, that a body without a declared size counts for until it has been read, unless less is
     * allowed: few such bodies are read at once, and none is refused for a size that it need not have.
     */
    private static final int UNDECLARED_DIVISOR = 8;

    private final HeldBytes held;
    private final Counter refusedBodies;
    private final Counter cutAnswers;

    ClientMemory(HeldBytes held, MetricRegistry registry) {
        this.held = held;
        this.refusedBodies = registry.counter("memory.refusedBodies");
        this.cutAnswers = registry.counter("memory.cutAnswers");
        registry.register("memory.heldBytes", (Gauge<Long>) held::bytes);
        registry.register("memory.messageBytes", (Gauge<Long>) MessageMemory.ofProcess()::bytes);
        registry.register("memory.limitBytes", (Gauge<Long>) held::limitBytes);
    }

    /** Counts the body of a request that is about to be read; false if there is no room for it. */
    boolean admitBody(HttpServerExchange exchange) {
        long bodyBytes = expectedBodyBytes(exchange);
        if (!BodyAdmission.admits(bodyBytes, held.bytes(), held.limitBytes())) {
            refusedBodies.inc();
            LOG.info(
                    "event=body_refused path={} bodyBytes={} heldBytes={} limitBytes={}",
                    exchange.getRequestPath(),
                    bodyBytes,
                    held.bytes(),
                    held.limitBytes());
            return false;
        }
        CurrentHolds holds = holds(exchange);
        holds.body = held.holdBody();
        holds.body.set(bodyBytes);
        return true;
    }

    /** How much memory a body will take; none if it is refused for its size. */
    private long expectedBodyBytes(HttpServerExchange exchange) {
        long declaredBytes = exchange.getRequestContentLength();
        if (declaredBytes < 0) {
            return exchange.isRequestComplete()
                    ? 0
                    : Math.min(exchange.getMaxEntitySize(), held.limitBytes() / UNDECLARED_DIVISOR);
        }
        return declaredBytes > exchange.getMaxEntitySize() ? 0 : declaredBytes;
    }

    /** Corrects the count once a body of unknown length has been read. */
    void bodyRead(HttpServerExchange exchange, long bodyBytes) {
        holds(exchange).body.set(bodyBytes);
    }

    /** Starts counting the answer of an exchange; {@code cut} ends it when the process holds too much. */
    HeldBytes.Hold holdAnswer(HttpServerExchange exchange, Runnable cut) {
        HeldBytes.Hold answer = held.holdAnswer(cut);
        holds(exchange).answers.add(answer);
        return answer;
    }

    /** Records that an answer was cut. */
    void recordCut(HttpServerExchange exchange, long unreadBytes, String reason) {
        cutAnswers.inc();
        LOG.info(
                "event=answer_cut path={} unreadBytes={} heldBytes={} limitBytes={} why=\"{}\"",
                exchange.getRequestPath(),
                unreadBytes,
                held.bytes(),
                held.limitBytes(),
                reason);
    }

    /** A connection serves one exchange at a time, so one listener for its close is enough for all of them. */
    private CurrentHolds holds(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        CurrentHolds known = connection.getAttachment(CURRENT);
        if (known == null) {
            known = new CurrentHolds(held.holdBody());
            connection.putAttachment(CURRENT, known);
            connection.addCloseListener(closed -> closed.getAttachment(CURRENT).release());
        }
        if (known.exchange != exchange) {
            known.release();
            known.exchange = exchange;
            CurrentHolds current = known;
            exchange.addExchangeCompleteListener((same, next) -> {
                current.release();
                next.proceed();
            });
        }
        return known;
    }

    /** What is held for one connection. */
    private static final class CurrentHolds {

        private HttpServerExchange exchange;
        private HeldBytes.Hold body;
        private final List<HeldBytes.Hold> answers = new ArrayList<>();

        private CurrentHolds(HeldBytes.Hold body) {
            this.body = body;
        }

        private void release() {
            body.release();
            answers.forEach(HeldBytes.Hold::release);
            answers.clear();
            exchange = null;
        }
    }
}
