package org.micabarrow.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
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
    private final OptionalInt kvTokens;
    private double slowness = 1;
    private boolean mute;
    private int preempted;

    EngineEmulator(Events events, ModelProfile model, OptionalInt kvTokens) {
        this.events = events;
        this.model = model;
        this.kvTokens = kvTokens;
    }

    /** What an engine has to do for one request, and who learns of it. */
    static final class Work {

        private final int rank;
        private final int promptTokens;
        private final Runnable began;
        private final Runnable stepped;
        private final Runnable ended;
        private int tokensLeft;
        private int tokensOut;
        private boolean promptRead;
        private boolean begun;

        Work(int rank, int promptTokens, int answerTokens, Runnable began, Runnable stepped, Runnable ended) {
            this.rank = rank;
            this.promptTokens = promptTokens;
            this.tokensLeft = answerTokens;
            this.began = began;
            this.stepped = stepped;
            this.ended = ended;
        }

        private int tokensHeld() {
            return promptTokens + tokensOut;
        }
    }

    /** Takes so many times as long over each pass from now on. */
    void slowness(double times) {
        slowness = times;
    }

    double slowness() {
        return slowness;
    }

    /** Keeps what it has and sends nothing until it is no longer mute. */
    void mute(boolean silent) {
        mute = silent;
        if (!silent && !inPass) {
            pass();
        }
    }

    int running() {
        return running.size();
    }

    /** Tokens that running requests hold. */
    int tokensHeld() {
        return running.stream().mapToInt(Work::tokensHeld).sum();
    }

    int preempted() {
        return preempted;
    }

    /** Drops a request whose caller is gone; the pass that it is in goes on. */
    void cancel(Work work) {
        queued.remove(work);
        running.remove(work);
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
        while (!queued.isEmpty()
                && running.size() < model.slots()
                && fits(queued.getFirst().tokensHeld())) {
            running.add(queued.removeFirst());
        }
        preemptNewest();
        inPass = !running.isEmpty() && !mute;
        if (!inPass) {
            return;
        }
        int unread = running.stream()
                .filter(work -> !work.promptRead)
                .mapToInt(Work::tokensHeld)
                .sum();
        double step = model.stepMillis() + model.stepMillisPerSequence() * running.size();
        double millis = slowness * (unread / model.prefillTokensPerMilli() + model.stride() * step);
        List<Work> writing = List.copyOf(running);
        events.after(millis, () -> passed(writing));
    }

    private boolean fits(int moreTokens) {
        return running.isEmpty() || kvTokens.isEmpty() || tokensHeld() + moreTokens <= kvTokens.getAsInt();
    }

    private void preemptNewest() {
        while (running.size() > 1 && !fits(0)) {
            Work newest = running.removeLast();
            newest.promptRead = false;
            queued.addFirst(newest);
            preempted++;
        }
    }

    private void passed(List<Work> writing) {
        for (Work work : writing) {
            if (!running.contains(work)) {
                continue;
            }
            boolean first = !work.begun;
            work.promptRead = true;
            work.begun = true;
            work.tokensLeft -= model.stride();
            work.tokensOut += model.stride();
            if (first) {
                work.began.run();
            } else {
                work.stepped.run();
            }
            if (work.tokensLeft <= 0) {
                running.remove(work);
                work.ended.run();
            }
        }
        pass();
    }
}
