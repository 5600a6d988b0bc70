package org.micabarrow.play;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.micabarrow.crashes.PromptPart;

/** The prompts of played requests: the parts that they share, and those of them that end endpoints. Seeded. */
final class PlayedPrompts {

    /** How many requests a second come with each poison part, no two alike. */
    private static final double POISON_PER_SECOND = 4;

    private static final double POISON_FROM_MILLIS = 5_000;

    private static final double POISON_IN_TURN_MILLIS = 4_000;

    /** How many crashes show that a part causes them, and how long afterwards every entry must know. */
    private static final int TELLING_CRASHES = 5;

    private static final double CONTACT_MILLIS = 3_000;

    /** How many parts there are that a harmless prompt may have after the first. */
    private static final int MIDDLE_PARTS = 6;

    /** The share of harmless prompts with a part that has been seen seldom or never, and how many requests later it changes. */
    private static final double NEW_SHARE = 0.2;

    private static final int REQUESTS_A_NEW_PART = 50;

    private final Setting setting;
    private final Events events;
    private final Random random;
    private final List<PoisonPart> poison = new ArrayList<>();

    /**
     * What the prompts consist of: a first part that all share, others that many share, and some that few do.
     *
     * @param stated whether requests state the parts of their prompts
     * @param poison how many parts end endpoints
     * @param poisonFirst whether these come first in their prompts, else after the first
     * @param seldom how many parts are seen only beside each of these
     * @param begun whether an event of the answer comes before the endpoint ends
     */
    record Setting(boolean stated, int poison, boolean poisonFirst, int seldom, boolean begun) {
        static final Setting NONE = new Setting(false, 0, false, 0, false);

        Setting(boolean stated, int poison, boolean poisonFirst, int seldom) {
            this(stated, poison, poisonFirst, seldom, false);
        }
    }

    PlayedPrompts(Setting setting, Events events, long seed) {
        this.setting = setting;
        this.events = events;
        this.random = new Random(seed);
        for (int i = 0; i < setting.poison(); i++) {
            poison.add(new PoisonPart(i));
        }
    }

    private static PromptPart part(String kind, long number) {
        return new PromptPart(kind + String.format(Locale.ROOT, "%07d", number));
    }

    private PromptPart middle() {
        return part("b", random.nextInt(MIDDLE_PARTS));
    }

    /** Draws the shared parts of a harmless prompt. */
    Set<PromptPart> harmless(long number) {
        Set<PromptPart> parts = new HashSet<>();
        if (setting.stated()) {
            parts.add(part("a", 0));
            parts.add(middle());
            if (random.nextBoolean()) {
                parts.add(middle());
            }
            if (random.nextDouble() < NEW_SHARE) {
                parts.add(part("c", number / REQUESTS_A_NEW_PART));
            }
        }
        return parts;
    }

    /** Begins to hand out prompts with poison parts. */
    void begin(Consumer<Set<PromptPart>> request) {
        for (int i = 0; i < poison.size(); i++) {
            PoisonPart one = poison.get(i);
            events.after(POISON_FROM_MILLIS + i * POISON_IN_TURN_MILLIS, () -> one.come(request));
        }
    }

    Optional<PoisonPart> poisonIn(Set<PromptPart> parts) {
        return poison.stream().filter(one -> parts.contains(one.part)).findFirst();
    }

    /** Whether every entry must have known all poison parts for as long again as it had to learn of them. */
    boolean allKnown() {
        return !poison.isEmpty() && poison.stream().allMatch(one -> one.told(2 * CONTACT_MILLIS));
    }

    /** Returns how many endpoints each poison part has ended. */
    Map<PromptPart, Integer> ended() {
        Map<PromptPart, Integer> ended = new HashMap<>();
        poison.forEach(one -> ended.put(one.part, one.crashes.size()));
        return ended;
    }

    /** Returns how many requests with each poison part were sent although every entry must have known it. */
    Map<PromptPart, Integer> sentLate() {
        Map<PromptPart, Integer> late = new HashMap<>();
        poison.forEach(one -> late.put(one.part, one.sentLate));
        return late;
    }

    /** A part that ends the endpoints that run a request with it; no two such requests are alike. */
    final class PoisonPart {

        private final PromptPart part;
        private final Set<PromptPart> beside = new HashSet<>();
        private final List<Double> crashes = new ArrayList<>();
        private int sentLate;

        private PoisonPart(int number) {
            part = part("d", number);
            for (int i = 0; i < setting.seldom(); i++) {
                beside.add(part("e", setting.seldom() * number + i));
            }
        }

        private void come(Consumer<Set<PromptPart>> request) {
            Set<PromptPart> parts = new HashSet<>(beside);
            parts.add(part);
            parts.add(middle());
            if (!setting.poisonFirst()) {
                parts.add(part("a", 0));
            }
            request.accept(parts);
            events.after(-Math.log(1 - random.nextDouble()) * 1_000 / POISON_PER_SECOND, () -> come(request));
        }

        private boolean told(double afterMillis) {
            return crashes.size() >= TELLING_CRASHES && events.now() - crashes.get(TELLING_CRASHES - 1) > afterMillis;
        }

        void sent() {
            if (told(CONTACT_MILLIS)) {
                sentLate++;
            }
        }

        void crashed() {
            crashes.add(events.now());
        }
    }
}
