package org.micabarrow.coordination.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** A log in memory with the platform's faults. It never waits. */
public final class FakeLog implements PlatformLog {

    private final Map<String, List<Entry>> streams = new HashMap<>();
    private int firstKept;
    private boolean down;
    private int answersToLose;
    private int appends;

    public synchronized void down(boolean now) {
        down = now;
    }

    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    public synchronized void keepFrom(int offset) {
        firstKept = offset;
    }

    public synchronized int appends() {
        return appends;
    }

    public synchronized List<Entry> entries(String stream) {
        return new ArrayList<>(streams.getOrDefault(stream, List.of()));
    }

    @Override
    public synchronized Result<Long> append(String stream, byte[] body) {
        if (down) {
            return failure("down");
        }
        appends++;
        List<Entry> entries = streams.computeIfAbsent(stream, key -> new ArrayList<>());
        entries.add(new Entry(entries.size(), entries.size(), body));
        if (answersToLose > 0) {
            answersToLose--;
            return failure("answer lost");
        }
        return Result.success((long) entries.size() - 1);
    }

    @Override
    public synchronized Result<Page> read(String stream, long from, Duration wait) {
        if (down) {
            return failure("down");
        }
        List<Entry> entries = streams.getOrDefault(stream, List.of());
        int first = Math.min(firstKept, entries.size());
        int begin = (int) Math.min(entries.size(), Math.max(from, first));
        return Result.success(new Page(first, entries.subList(begin, entries.size())));
    }

    private static <T> Result<T> failure(String why) {
        return Result.failure(Fault.of(Fault.Step.LOG, "log", Fault.Reason.UNREACHABLE, why));
    }
}
