package org.micabarrow.play;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.micabarrow.admission.ClassAllotment;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.SlotAllotment;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.LoadReport;

/** An emulated engine with the agent beside it, which decides as agents do. */
final class PlayedEngine {

    private final Events events;
    private final LoadSetting setting;
    private final int number;
    private final ClassAllotment.Pool pool;
    private final EngineEmulator emulator;
    private final ClassAllotment shares;
    private final UnevenEngine uneven;
    private final EndpointRegistration listed;
    private final Map<String, Integer> promptTokensByEntry = new HashMap<>();
    private Optional<EndpointCondition> condition = Optional.empty();
    private int reported;

    PlayedEngine(Events events, Random random, LoadSetting setting, int number, ClassAllotment.Pool pool) {
        this.events = events;
        this.setting = setting;
        this.number = number;
        this.pool = pool;
        this.emulator =
                new EngineEmulator(events, setting.model(), setting.uneven().kvTokens());
        this.shares = new ClassAllotment(new Random(random.nextLong()));
        this.uneven = new UnevenEngine(events, emulator, setting, number);
        this.listed = EndpointRegistration.of(
                "e" + number,
                "s",
                "10.0.0.1:80",
                "hall",
                setting.model().slots(),
                false,
                Map.of("m", 1L),
                setting.model().layers());
    }

    EngineEmulator emulator() {
        return emulator;
    }

    EndpointRegistration listed() {
        return listed;
    }

    void beginUneven() {
        uneven.begin(number);
    }

    /** Reads the engine's report, and again after the usual time. */
    void look() {
        reported = emulator.requests();
        condition = uneven.condition();
        events.after(setting.lookMillis(), this::look);
    }

    boolean isSilent() {
        return number < setting.faults().silentAgents()
                && events.now() > setting.faults().fromMillis();
    }

    /** What the agent replies to an entry. */
    record Report(LoadReport load, Optional<SlotGrants> grants) {}

    Report asked(String entry, int ownPromptTokens, int unmet, Optional<EntryDemand> demand) {
        promptTokensByEntry.put(entry, ownPromptTokens);
        int others = promptTokensByEntry.entrySet().stream()
                .filter(one -> !one.getKey().equals(entry))
                .mapToInt(Map.Entry::getValue)
                .sum();
        int free = Math.min(
                SlotAllotment.allottable(setting.model().slots(), reported),
                condition.map(EndpointCondition::requestsThatFit).orElse(Integer.MAX_VALUE));
        ClassAllotment.Allotment allotment = setting.dealt()
                ? shares.allot(entry, unmet, demand, free, () -> pool, events.nowMillis())
                : new ClassAllotment.Allotment(LoadReport.UNLIMITED_SLOTS, Optional.empty());
        LoadReport report = new LoadReport(reported, others, false, 1, allotment.slots());
        return new Report(UnevenEngine.with(report, condition), allotment.grants());
    }
}
