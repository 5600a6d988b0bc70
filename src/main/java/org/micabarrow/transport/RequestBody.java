package org.micabarrow.transport;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.memory.BodyAdmission;
import org.micabarrow.memory.HeldBytes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of a request part by part, so that its length and the memory for it are checked before each part is kept:
 * Undertow's own receiver keeps a body of chunks up to the limit of the listener, whatever the exchange allows, and counts nothing.
 * Used on the thread of the connection.
 *
 * <pre>{@code
 * RequestBody.receive(exchange, 4 << 20, held, received -> handle(received));
 * }</pre>
 */
public final class RequestBody {

    private static final Logger LOG = LoggerFactory.getLogger(RequestBody.class);

    /** How much of a body that is not wanted is read before its request is refused, in bytes: what mostly came with its head. */
    private static final long MAX_DISCARDED_BYTES = 64 * 1024;

    /** How often the progress of a body is looked at that has not come whole, in milliseconds. */
    private static final long PROGRESS_MILLIS = 10_000;

    /** What must have come of a body meanwhile if it is to keep its memory while that is short, in bytes: 13 kbit/s. */
    private static final long MIN_PROGRESS_BYTES = 16 * 1024;

    /** The part of the memory, as a divisor, beyond which it is short. */
    private static final long SHORT_DIVISOR = 2;

    private final HttpServerExchange exchange;
    private final long maxBytes;
    private final HeldBytes held;
    private final HeldBytes.Hold hold;
    private final Consumer<Received> then;
    private final ByteArrayBuilder body = new ByteArrayBuilder();
    private StreamSourceChannel source;
    private Optional<XnioExecutor.Key> progressCheck = Optional.empty();
    private boolean ended;

    /** What became of a body. */
    public sealed interface Received {

        /**
         * It came whole.
         *
         * @param bytes the body
         */
        record Whole(byte[] bytes) implements Received {}

        /**
         * It is longer than allowed, and was not read on.
         *
         * @param maxBytes the greatest length allowed
         */
        record TooLong(long maxBytes) implements Received {}

        /**
         * There was no memory for it, or it came too slowly to keep what it had while that was short; it was not read on.
         *
         * @param bodyBytes its length, or what had come of it if it states none
         */
        record NoRoom(long bodyBytes) implements Received {}

        /**
         * It broke off.
         *
         * @param cause the cause
         */
        record BrokenOff(IOException cause) implements Received {}
    }

    private RequestBody(HttpServerExchange exchange, long maxBytes, HeldBytes held, Consumer<Received> then) {
        this.exchange = exchange;
        this.maxBytes = maxBytes;
        this.held = held;
        this.hold = held.holdBody();
        this.then = then;
    }

    /**
     * Receives the body of a request. What it takes up is counted until the exchange ends.
     *
     * @param exchange an exchange whose handler does nothing else
     * @param maxBytes the greatest length of the body, in bytes
     * @param held counts the memory for it, and bounds that of all bodies together
     * @param then receives the outcome once, on the same thread
     */
    public static void receive(HttpServerExchange exchange, long maxBytes, HeldBytes held, Consumer<Received> then) {
        Objects.requireNonNull(exchange, "exchange is null");
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(then, "then is null");
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> new RequestBody(exchange, maxBytes, held, then).begin());
    }

    /**
     * Reads what has come of a body that is not wanted, so that what is left of the connection's bytes belongs to the next request. The
     * rest is read when the exchange ends.
     *
     * @param exchange an exchange that is refused
     */
    public static void discardAvailable(HttpServerExchange exchange) {
        StreamSourceChannel unwanted = exchange.isRequestComplete() ? null : exchange.getRequestChannel();
        if (unwanted == null) {
            // It is complete, or has been read before.
            return;
        }
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            long discarded = 0;
            for (int count = 1; count > 0 && discarded < MAX_DISCARDED_BYTES; discarded += count) {
                count = unwanted.read(pooled.getBuffer().clear());
            }
        } catch (IOException e) {
            // The end of the exchange meets it again, and closes the connection.
            LOG.debug("event=unwanted_body_not_read why=\"{}\"", e.toString());
        }
    }

    // -- parts

    private void begin() {
        ExchangeEnd.add(exchange, hold::release);
        long statedBytes = exchange.getRequestContentLength();
        if (statedBytes > maxBytes) {
            then.accept(new Received.TooLong(maxBytes));
        } else if (exchange.isRequestComplete()) {
            then.accept(new Received.Whole(new byte[0]));
        } else if (!claim(Math.max(0, statedBytes))) {
            then.accept(new Received.NoRoom(statedBytes));
        } else {
            source = exchange.getRequestChannel();
            continueThenRead();
        }
    }

    private void continueThenRead() {
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            read();
            return;
        }
        HttpContinue.sendContinueResponse(exchange, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                read();
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                end(new Received.BrokenOff(e));
            }
        });
    }

    private void read() {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            while (true) {
                ByteBuffer part = pooled.getBuffer().clear();
                int count = source.read(part);
                if (count < 0) {
                    end(new Received.Whole(body.toByteArray()));
                    return;
                }
                if (count == 0) {
                    awaitMore();
                    return;
                }
                if (!keep(part.flip())) {
                    return;
                }
            }
        } catch (RequestTooBigException e) {
            LOG.debug("event=body_too_long_for_listener why=\"{}\"", e.getMessage());
            end(new Received.TooLong(maxBytes));
        } catch (IOException e) {
            end(new Received.BrokenOff(e));
        }
    }

    private void awaitMore() {
        if (progressCheck.isEmpty()) {
            scheduleProgressCheck();
        }
        source.getReadSetter().set(readable -> read());
        source.resumeReads();
    }

    private void scheduleProgressCheck() {
        long before = body.size();
        progressCheck = Optional.of(exchange.getIoThread()
                .executeAfter(() -> checkProgress(before), PROGRESS_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void checkProgress(long beforeBytes) {
        boolean memoryIsShort = held.bytes() > held.limitBytes() / SHORT_DIVISOR;
        if (ended || !exchange.getConnection().isOpen()) {
            return;
        }
        if (memoryIsShort && body.size() - beforeBytes < MIN_PROGRESS_BYTES) {
            end(new Received.NoRoom(hold.bytes()));
        } else {
            scheduleProgressCheck();
        }
    }

    /** Keeps a part; false if the body has ended with it. */
    private boolean keep(ByteBuffer part) {
        long bytes = (long) body.size() + part.remaining();
        if (bytes > maxBytes) {
            end(new Received.TooLong(maxBytes));
            return false;
        }
        if (bytes > hold.bytes() && !claim(bytes)) {
            end(new Received.NoRoom(bytes));
            return false;
        }
        byte[] data = new byte[part.remaining()];
        part.get(data);
        body.write(data, 0, data.length);
        return true;
    }

    private boolean claim(long bytes) {
        if (!BodyAdmission.admits(bytes, held.bytes() - hold.bytes(), held.limitBytes())) {
            return false;
        }
        hold.set(bytes);
        return true;
    }

    private void end(Received received) {
        ended = true;
        progressCheck.ifPresent(XnioExecutor.Key::remove);
        source.getReadSetter().set(null);
        source.suspendReads();
        if (!(received instanceof Received.Whole)) {
            hold.release();
        }
        body.release();
        then.accept(received);
    }
}
