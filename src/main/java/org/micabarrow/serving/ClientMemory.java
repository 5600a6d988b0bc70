package org.micabarrow.serving;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.memory.MessageMemory;
import org.micabarrow.transport.ExchangeEnd;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the memory that is held for the answers to clients, until their exchanges end, and what became of those for which there was
 * none. Used by the traffic thread.
 */
final class ClientMemory {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

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

    /** Records that a body was refused. */
    void recordRefused(HttpServerExchange exchange, long bodyBytes) {
        refusedBodies.inc();
        LOG.info(
                "event=body_refused path={} bodyBytes={} heldBytes={} limitBytes={}",
                exchange.getRequestPath(),
                bodyBytes,
                held.bytes(),
                held.limitBytes());
    }

    /** Starts counting the answer of an exchange; {@code cut} ends it when the process holds too much. */
    HeldBytes.Hold holdAnswer(HttpServerExchange exchange, Runnable cut) {
        HeldBytes.Hold answer = held.holdAnswer(cut);
        ExchangeEnd.add(exchange, answer::release);
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
}
