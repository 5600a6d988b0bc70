package org.micabarrow.play;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.LoadReport;

/** Plays what differs between engines on one of them, and what its agent tells of it. */
final class UnevenEngine {

    private final Events events;
    private final EngineEmulator emulator;
    private final LoadSetting.Uneven uneven;
    private final int layers;
    private final RandomGenerator random;

    UnevenEngine(Events events, EngineEmulator emulator, LoadSetting setting, int index) {
        this.events = events;
        this.emulator = emulator;
        this.uneven = setting.uneven();
        this.layers = setting.model().layers();
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(setting.seed() * 1_000 + index);
    }

    void begin(int index) {
        uneven.moments()
                .ifPresent(moments -> events.after(random.nextDouble() * usualMillis(moments), () -> slow(moments)));
        uneven.mute().filter(mute -> index < mute.count()).ifPresent(mute -> {
            events.after(mute.fromMillis(), () -> emulator.mute(true));
            events.after(mute.toMillis(), () -> emulator.mute(false));
        });
    }

    private void slow(LoadSetting.Moments moments) {
        emulator.slowness(moments.times());
        events.after(random.nextDouble(moments.leastMillis(), moments.mostMillis()), () -> usual(moments));
    }

    private void usual(LoadSetting.Moments moments) {
        emulator.slowness(1);
        events.after(-Math.log(1 - random.nextDouble()) * usualMillis(moments), () -> slow(moments));
    }

    private static double usualMillis(LoadSetting.Moments moments) {
        double meanSlowMillis = (moments.leastMillis() + moments.mostMillis()) / 2;
        return meanSlowMillis * (1 - moments.part()) / moments.part();
    }

    /** What the engine tells its agent now. */
    Optional<EndpointCondition> condition() {
        if (uneven.pace() == LoadSetting.ToldPace.NOTHING && uneven.kvTokens().isEmpty()) {
            return Optional.empty();
        }
        OptionalLong kvTotal = uneven.kvTokens().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of((long) uneven.kvTokens().getAsInt() * layers);
        return Optional.of(new EndpointCondition(
                emulator.running(),
                emulator.requests() - emulator.running(),
                pace(),
                OptionalLong.of((long) emulator.tokensHeld() * layers),
                kvTotal));
    }

    private OptionalDouble pace() {
        double slowness = emulator.slowness();
        return switch (uneven.pace()) {
            case NOTHING -> OptionalDouble.empty();
            case TRUE -> OptionalDouble.of(slowness);
            case ALWAYS_USUAL -> OptionalDouble.of(1);
            case INVERTED -> OptionalDouble.of(slowness > 1 ? 1 : 5);
            case ABSURD -> OptionalDouble.of(absurd());
        };
    }

    private double absurd() {
        double[] values = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9};
        return values[random.nextInt(values.length)];
    }

    static LoadReport with(LoadReport report, Optional<EndpointCondition> condition) {
        return condition.isPresent() ? report.withCondition(condition) : report;
    }
}
