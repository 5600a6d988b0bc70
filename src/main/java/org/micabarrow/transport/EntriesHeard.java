package org.micabarrow.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.transport.LoadMessages.Question;
import org.micabarrow.transport.LoadMessages.ReaderNews;

/** What an agent heard from entries lately, each by its last question. Safe for several threads. */
final class EntriesHeard {

    /** How long what an entry said counts, in milliseconds: the longest pause between its questions, and some more. */
    private static final long COUNTED_MILLIS = 1_000;

    /**
     * How long an entry of the region counts as its reader after its last question, in milliseconds: three of its rounds. The others
     * wait that long for one that ended.
     */
    private static final long READER_MILLIS = 450;

    private final long trustMillis;
    private final Map<String, Heard> entries = new HashMap<>();

    private final String agent;

    /** Empty after an entry has come or gone. */
    private Map<String, EntryRank> ranks = Map.of();

    /** When the first entry was heard. */
    private long firstMillis = Long.MAX_VALUE;

    /**
     * Makes a record in which nothing is heard.
     *
     * @param trustMillis how old what an entry knows of the store may be, in milliseconds, for others to go by it
     * @param agent the agent's name, by which it ranks entries in an order of its own
     */
    EntriesHeard(long trustMillis, String agent) {
        this.agent = agent;
        this.trustMillis = trustMillis;
    }

    /**
     * An entry's last question.
     *
     * @param from whence it came
     * @param host the address of that
     * @param question the question
     * @param atMillis when it came, on the agent's steady clock
     * @param peer the host and port at which the entry can be asked for records, if it tells of news
     * @param reader what it tells as one that reads the store itself
     */
    record Heard(
            InetSocketAddress from,
            String host,
            Question question,
            long atMillis,
            Optional<String> peer,
            Optional<Reader> reader) {}

    /**
     * An entry that reads the store itself.
     *
     * @param peer the host and port at which it can be asked for records
     * @param operator the offset after the last change of operators that it knows of
     * @param knownAtMillis when it knew all that operators wrote, at the earliest, on the agent's steady clock
     */
    record Reader(String peer, long operator, long knownAtMillis) {

        private ReaderNews news(long nowMillis) {
            return new ReaderNews(peer, operator, nowMillis - knownAtMillis);
        }
    }

    /**
     * What the other entries said.
     *
     * @param promptTokens the prompt tokens of their requests whose answers have not begun
     * @param reader the one that reads the store for the region; empty if none does, or if it is told to nobody
     * @param rank the place of the one that is told among all; empty until all have had time to ask
     */
    record Others(int promptTokens, Optional<ReaderNews> reader, Optional<EntryRank> rank) {}

    /**
     * Notes a question.
     *
     * @param from whence it came
     * @param question the question
     * @param nowMillis the time on the agent's steady clock
     * @return what is known of the entry now
     */
    synchronized Heard hear(InetSocketAddress from, Question question, long nowMillis) {
        Heard before = entries.get(question.entry());
        String host = before != null && before.from().equals(from)
                ? before.host()
                : from.getAddress().getHostAddress();
        Optional<String> peer = question.news().map(news -> host + ":" + news.port());
        Heard heard = new Heard(from, host, question, nowMillis, peer, reader(peer, question, nowMillis));
        if (before == null) {
            ranks = Map.of();
        }
        entries.put(question.entry(), heard);
        firstMillis = Math.min(firstMillis, nowMillis);
        return heard;
    }

    /**
     * What an entry knows of the store, if it reads that itself. Its question may have been long on its way; that it was sent after
     * the answer whose stamp it repeats is certain, so the age is counted from there. Without a stamp nothing is certain.
     */
    private static Optional<Reader> reader(Optional<String> peer, Question question, long nowMillis) {
        boolean certain = question.stamp().isPresent() && question.stamp().getAsLong() <= nowMillis;
        if (!certain || question.news().isEmpty() || !question.news().get().direct()) {
            return Optional.empty();
        }
        StoreUpdate news = question.news().get();
        return Optional.of(new Reader(
                peer.orElseThrow(), news.changes().operator(), question.stamp().getAsLong() - news.knownMillisAgo()));
    }

    /**
     * All entries that were heard lately.
     *
     * @return a copy
     */
    synchronized List<Heard> all() {
        return List.copyOf(entries.values());
    }

    /**
     * What the entries but one said, as far as it still counts.
     *
     * <p>The reader is the one by which an entry nearby is to go, instead of reading the store: the first by its address of those
     * that read it themselves, and know it lately enough for others to go by. All agents name the same one while they hear of the
     * same entries; where they differ for a moment, one more reads the store, since an entry goes only by one whose address comes
     * before its own.
     *
     * @param one the entry that is to be told
     * @param nowMillis the time on the agent's steady clock
     * @return the sum of the prompt tokens, and the reader
     */
    synchronized Others others(Heard one, long nowMillis) {
        int promptTokens = 0;
        Reader first = null;
        for (Iterator<Heard> each = entries.values().iterator(); each.hasNext(); ) {
            Heard other = each.next();
            if (nowMillis - other.atMillis() > COUNTED_MILLIS) {
                each.remove();
                ranks = Map.of();
                continue;
            }
            if (!other.question().entry().equals(one.question().entry())) {
                promptTokens += other.question().promptTokens();
            }
            if (one.question().near() && reads(other, nowMillis)) {
                Reader reader = other.reader().orElseThrow();
                first = first == null || reader.peer().compareTo(first.peer()) < 0 ? reader : first;
            }
        }
        return new Others(
                promptTokens,
                Optional.ofNullable(first)
                        .filter(reader -> !one.peer().equals(Optional.of(reader.peer())))
                        .map(reader -> reader.news(nowMillis)),
                rank(one, nowMillis));
    }

    /** An entry that is told anything without having asked lately has no rank. */
    private Optional<EntryRank> rank(Heard one, long nowMillis) {
        if (nowMillis - firstMillis < COUNTED_MILLIS) {
            return Optional.empty();
        }
        if (ranks.isEmpty()) {
            ranks = EntryRank.ranks(entries.keySet(), agent);
        }
        return Optional.ofNullable(ranks.get(one.question().entry()));
    }

    private boolean reads(Heard other, long nowMillis) {
        return other.reader().isPresent()
                && nowMillis - other.atMillis() <= READER_MILLIS
                && nowMillis - other.reader().get().knownAtMillis() < trustMillis;
    }
}
