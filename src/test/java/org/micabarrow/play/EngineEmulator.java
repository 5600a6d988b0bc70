package org.micabarrow.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.micabarrow.routing.ModelProfile;

/**
 * An emulated engine of a model: it runs requests in one batch, in passes; each pass reads the prompts that have come and
 * then writes a few tokens of every answer. What comes beyond its slots waits inside it.
 */
final class EngineEmulator {

    private final Events events;
    private final ModelProfile model;
    private final List<Work> queued = new ArrayList<>();
    private final List<Work> running = new ArrayList<>();
    private boolean inPass;
    private double slowness = 1;

    EngineEmulator(Events events, ModelProfile model) {
        this.events = events;
        this.model = model;
    }

    /** What an engine has to do for one request, and who learns of it. */
    static final class Work {

        private final int rank;
        private final int promptTokens;
        private final Runnable began;
        private final Runnable ended;
        private int tokensLeft;
        private boolean promptRead;

        Work(int rank, int promptTokens, int answerTokens, Runnable began, Runnable ended) {
            this.rank = rank;
            this.promptTokens = promptTokens;
            this.tokensLeft = answerTokens;
            this.began = began;
            this.ended = ended;
        }
    }

    /** Takes so many times as long over each pass from now on. */
    void slowness(double times) {
        slowness = times;
    }

    int requests() {
        return queued.size() + running.size();
    }

    void take(Work work) {
        queued.add(work);
        if (!inPass) {
            pass();
        }
    }

    private void pass() {
        queued.sort(Comparator.comparingInt(work -> work.rank));
        while (!queued.isEmpty() && running.size() < model.slots()) {
            running.add(queued.removeFirst());
        }
        inPass = !running.isEmpty();
        if (!inPass) {
            return;
        }
        int unread = running.stream()
                .filter(work -> !work.promptRead)
                .mapToInt(work -> work.promptTokens)
                .sum();
        double step = model.stepMillis() + model.stepMillisPerSequence() * running.size();
        double millis = slowness * (unread / model.prefillTokensPerMilli() + model.stride() * step);
        List<Work> writing = List.copyOf(running);
        events.after(millis, () -> passed(writing));
    }

    private void passed(List<Work> writing) {
        for (Work work : writing) {
            boolean first = !work.promptRead;
            work.promptRead = true;
            work.tokensLeft -= model.stride();
            if (first) {
                work.began.run();
            }
            if (work.tokensLeft <= 0) {
                running.remove(work);
                work.ended.run();
            }
        }
        pass();
    }
}
