package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.ManifestPosition;

/**
 * The datagrams by which entries ask agents how their endpoints are. One that is lost is made up for by the next. Numbers are
 * binary, since an agent is asked by every entry several times a second.
 */
final class LoadMessages {

    /** The greatest datagram, in bytes; they are well under a hundred. */
    private static final int MOST_BYTES = 512;

    /** What a question takes without its news and the entry's name, in bytes. */
    private static final int QUESTION_BYTES = 4 * Integer.BYTES + Long.BYTES + 3;

    /** What news take without the place of the manifest, in bytes. */
    private static final int NEWS_BYTES = Integer.BYTES + 4 * Long.BYTES + 2;

    private static final int PLACE_BYTES = 2 * Long.BYTES;

    /** What an answer takes without the start of the endpoint and the reader of the region, in bytes. */
    private static final int ANSWER_BYTES = 4 * Integer.BYTES + 2 * Long.BYTES + 3;

    /** What the reader of the region takes without its address, in bytes. */
    private static final int READER_BYTES = Integer.BYTES + 2 * Long.BYTES;

    private static final byte NO = 0;
    private static final byte YES = 1;

    /** The bits of what an endpoint does. */
    private static final int LOADING = 1;

    private static final int LEAVING = 2;

    private LoadMessages() {}

    private interface Reading<T> {
        T read(ByteBuffer datagram);
    }

    /** Whatever another program sends to the port is refused with a reason. */
    private static <T> T whole(byte[] bytes, Reading<T> reading) throws IOException {
        try {
            ByteBuffer datagram = ByteBuffer.wrap(bytes);
            T message = reading.read(datagram);
            if (datagram.hasRemaining()) {
                throw new IOException("a datagram is longer than its message by " + datagram.remaining() + " bytes");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new IOException("a datagram of " + bytes.length + " bytes breaks off", e);
        } catch (IllegalArgumentException e) {
            throw new IOException("a datagram says what cannot be: " + e.getMessage(), e);
        }
    }

    /** An age; one below zero would make whoever hears it sure of what nobody knows yet. */
    private static long age(ByteBuffer datagram) {
        long millis = datagram.getLong();
        if (millis < 0) {
            throw new IllegalArgumentException("an age of " + millis + " ms");
        }
        return millis;
    }

    private static boolean flag(ByteBuffer datagram) {
        return datagram.get() != NO;
    }

    private static byte flag(boolean on) {
        return on ? YES : NO;
    }

    // -- questions

    /**
     * An entry's question, which tells what the entry itself has waiting there.
     *
     * @param entry the entry's name
     * @param promptTokens the prompt tokens of its requests whose answers have not begun
     * @param number tells it from the entry's other questions
     * @param unmet the requests for models that the entry turned away for want of room in about the last second
     * @param near whether the agent is of the entry's region
     * @param news what it tells of the store; empty to agents of other regions, and while it is out of touch
     * @param stamp the stamp of the last answer that the entry got from the agent: the question was sent after it
     * @param limit what the entry heard of the limit of the endpoint beside the agent; empty if nothing lately
     */
    record Question(
            String entry,
            int promptTokens,
            int number,
            int unmet,
            boolean near,
            Optional<StoreUpdate> news,
            OptionalLong stamp,
            Optional<RateLimitUpdate> limit) {

        /** A question of an entry that has heard of no limit. */
        Question(
                String entry,
                int promptTokens,
                int number,
                int unmet,
                boolean near,
                Optional<StoreUpdate> news,
                OptionalLong stamp) {
            this(entry, promptTokens, number, unmet, near, news, stamp, Optional.empty());
        }

        /** A question of an entry that has got no answer yet. */
        Question(String entry, int promptTokens, int number, int unmet, boolean near, Optional<StoreUpdate> news) {
            this(entry, promptTokens, number, unmet, near, news, OptionalLong.empty());
        }

        /** A question to an agent of another region, which is told nothing of the store. */
        Question(String entry, int promptTokens, int number, int unmet) {
            this(entry, promptTokens, number, unmet, false, Optional.empty());
        }
    }

    static ByteBuffer write(Question question) {
        byte[] entry = question.entry().getBytes(StandardCharsets.UTF_8);
        int newsBytes = question.news().map(LoadMessages::size).orElse(0);
        int limitBytes = LimitBytes.ofLimit(question.limit());
        ByteBuffer datagram = ByteBuffer.allocate(QUESTION_BYTES + newsBytes + limitBytes + entry.length);
        datagram.putInt(question.number());
        datagram.putInt(question.promptTokens());
        datagram.putInt(question.unmet());
        datagram.put(flag(question.near()));
        datagram.put(flag(question.stamp().isPresent()));
        datagram.putLong(question.stamp().orElse(0));
        datagram.put(flag(question.news().isPresent()));
        question.news().ifPresent(news -> write(datagram, news));
        LimitBytes.writeLimit(datagram, question.limit());
        datagram.putInt(entry.length);
        datagram.put(entry);
        return datagram.flip();
    }

    static Question question(byte[] bytes) throws IOException {
        return whole(bytes, datagram -> {
            int number = datagram.getInt();
            int promptTokens = datagram.getInt();
            int unmet = datagram.getInt();
            boolean near = flag(datagram);
            boolean stamped = flag(datagram);
            long stamp = datagram.getLong();
            Optional<StoreUpdate> news = flag(datagram) ? Optional.of(news(datagram)) : Optional.empty();
            Optional<RateLimitUpdate> limit = LimitBytes.readLimit(datagram);
            String entry = text(datagram);
            OptionalLong answered = stamped ? OptionalLong.of(stamp) : OptionalLong.empty();
            return new Question(entry, promptTokens, number, unmet, near, news, answered, limit);
        });
    }

    private static String text(ByteBuffer datagram) {
        byte[] bytes = new byte[Math.clamp(datagram.getInt(), 0, MOST_BYTES)];
        datagram.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static int size(StoreUpdate news) {
        return NEWS_BYTES + (news.manifest().isPresent() ? PLACE_BYTES : 0);
    }

    private static void write(ByteBuffer datagram, StoreUpdate news) {
        datagram.putInt(news.port());
        datagram.putLong(news.changes().operator());
        datagram.putLong(news.changes().endpoints());
        datagram.putLong(news.changes().weights());
        datagram.putLong(news.knownMillisAgo());
        datagram.put(flag(news.direct()));
        datagram.put(flag(news.manifest().isPresent()));
        news.manifest().ifPresent(place -> {
            datagram.putLong(place.version());
            datagram.putLong(place.offset());
        });
    }

    private static StoreUpdate news(ByteBuffer datagram) {
        int port = datagram.getInt();
        ChangeOffsets changes = new ChangeOffsets(datagram.getLong(), datagram.getLong(), datagram.getLong());
        long knownMillisAgo = age(datagram);
        boolean direct = flag(datagram);
        Optional<ManifestPosition> manifest = flag(datagram)
                ? Optional.of(new ManifestPosition(datagram.getLong(), datagram.getLong()))
                : Optional.empty();
        return new StoreUpdate(port, changes, manifest, knownMillisAgo, direct);
    }

    // -- answers

    /**
     * What an agent tells an entry nearby of the one that reads the store for the entries of the region.
     *
     * @param peer the host and port at which that one can be asked for records
     * @param operator the offset after the last change of operators that it knows of
     * @param knownMillisAgo how long ago it knew all that operators wrote, in milliseconds
     */
    record ReaderNews(String peer, long operator, long knownMillisAgo) {

        /** Checks that nothing is missing. */
        ReaderNews {
            Objects.requireNonNull(peer, "peer is null");
        }
    }

    /**
     * An agent's answer.
     *
     * @param number the number of the entry's question; if nothing was asked, that of the last
     * @param told how the endpoint is
     * @param reader the entry that reads the store for the region; empty to that one, to entries of other regions, and if none does
     * @param stampMillis the agent's steady clock, which the entry's next question repeats
     * @param rank the entry's place among those that ask; empty while the agent has not listened for long enough to know
     * @param limit what is known of the endpoint's limit; empty if nothing was heard of it lately
     */
    record Answer(
            int number,
            LoadReport told,
            Optional<ReaderNews> reader,
            long stampMillis,
            Optional<EntryRank> rank,
            Optional<RateLimitUpdate> limit) {

        /** An answer of an agent that knows neither ranks nor limits. */
        Answer(int number, LoadReport told, Optional<ReaderNews> reader, long stampMillis) {
            this(number, told, reader, stampMillis, Optional.empty(), Optional.empty());
        }

        /** An answer that tells of no reader. */
        Answer(int number, LoadReport told) {
            this(number, told, Optional.empty(), 0);
        }
    }

    static ByteBuffer write(Answer answer) {
        LoadReport told = answer.told();
        int startBytes = told.start().isPresent() ? Integer.BYTES : 0;
        byte[] peer = answer.reader().map(ReaderNews::peer).orElse("").getBytes(StandardCharsets.UTF_8);
        int readerBytes = answer.reader().isPresent() ? READER_BYTES + peer.length : 0;
        int limitBytes = LimitBytes.ofRank(answer.rank()) + LimitBytes.ofLimit(answer.limit());
        ByteBuffer datagram = ByteBuffer.allocate(ANSWER_BYTES + startBytes + readerBytes + limitBytes);
        datagram.putInt(answer.number());
        datagram.putInt(told.requests());
        datagram.putInt(told.othersPromptTokens());
        datagram.putInt(told.places());
        datagram.putLong(told.version());
        datagram.put(state(told));
        datagram.put(flag(told.start().isPresent()));
        told.start().ifPresent(datagram::putInt);
        datagram.put(flag(answer.reader().isPresent()));
        answer.reader().ifPresent(reader -> {
            datagram.putLong(reader.operator());
            datagram.putLong(reader.knownMillisAgo());
            datagram.putInt(peer.length);
            datagram.put(peer);
        });
        datagram.putLong(answer.stampMillis());
        LimitBytes.writeRank(datagram, answer.rank());
        LimitBytes.writeLimit(datagram, answer.limit());
        return datagram.flip();
    }

    private static byte state(LoadReport told) {
        return (byte) ((told.loading() ? LOADING : 0) | (told.leaving() ? LEAVING : 0));
    }

    static Answer answer(byte[] bytes) throws IOException {
        return whole(bytes, datagram -> {
            int number = datagram.getInt();
            int requests = datagram.getInt();
            int othersPromptTokens = datagram.getInt();
            int places = datagram.getInt();
            long version = datagram.getLong();
            byte state = datagram.get();
            OptionalInt start = flag(datagram) ? OptionalInt.of(datagram.getInt()) : OptionalInt.empty();
            LoadReport told = new LoadReport(
                    requests,
                    othersPromptTokens,
                    (state & LOADING) != 0,
                    version,
                    places,
                    start,
                    (state & LEAVING) != 0);
            Optional<ReaderNews> reader = flag(datagram) ? Optional.of(reader(datagram)) : Optional.empty();
            long stamp = datagram.getLong();
            Optional<EntryRank> rank = LimitBytes.readRank(datagram);
            return new Answer(number, told, reader, stamp, rank, LimitBytes.readLimit(datagram));
        });
    }

    private static ReaderNews reader(ByteBuffer datagram) {
        long operator = datagram.getLong();
        long knownMillisAgo = age(datagram);
        return new ReaderNews(text(datagram), operator, knownMillisAgo);
    }

    // -- either

    /**
     * A datagram as it came in.
     *
     * @param from whence
     * @param bytes what it says
     */
    record Received(InetSocketAddress from, byte[] bytes) {}

    /** Waits for the next datagram. */
    static Received receive(DatagramChannel channel) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return new Received(from, bytes);
    }
}
