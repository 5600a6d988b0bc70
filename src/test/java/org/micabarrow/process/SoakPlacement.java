package org.micabarrow.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.platform.standin.ReceivedRequest;

/** Evacuates data halls and has endpoints start cold in the soak, and looks up what these endpoints got meanwhile. */
final class SoakPlacement {

    /** How long after an evacuation entries may still send to the hall; the stand-in's settings name it. */
    private static final long EVACUATE_MILLIS = 2_000;

    /** How long entries may take to read the store again after it was away. */
    private static final long READ_AGAIN_MILLIS = 3_000;

    /** For how long an evacuation that every entry knows of lasts at least, so that there is something to look up. */
    private static final long MIN_EVACUATED_MILLIS = 1_000;

    private static final long COLD_MILLIS = 3_000;

    /** What a cold endpoint bears by the stand-in's manifest, and what it may get in one second. */
    private static final double MAX_COLD_IN_SECOND = 5 * 1.5 + 5;

    private final HostedSystem platform;
    private final List<Evacuation> evacuations = new ArrayList<>();
    private final Map<String, Long> coldSinceMillis = new HashMap<>();
    private Optional<Evacuation> current = Optional.empty();

    /** An evacuation, which every entry knows from a moment on. */
    private static final class Evacuation {

        private final String hall;
        private long knownMillis = MonotonicClock.millis() + EVACUATE_MILLIS;
        private long untilMillis = Long.MAX_VALUE;

        private Evacuation(String hall) {
            this.hall = hall;
        }
    }

    SoakPlacement(HostedSystem platform) {
        this.platform = platform;
    }

    /** Evacuates a data hall, or takes the evacuation back if every entry has known of it for a while. */
    void evacuateOrTakeBack(String hall) {
        if (current.isEmpty()) {
            platform.evacuate(hall);
            current = Optional.of(new Evacuation(hall));
            current.ifPresent(evacuations::add);
        } else if (MonotonicClock.millis() > current.get().knownMillis + MIN_EVACUATED_MILLIS) {
            current.get().untilMillis = MonotonicClock.millis();
            platform.cancelEvacuation(current.get().hall);
            current = Optional.empty();
        }
    }

    /** Entries that have not read of an evacuation before the store falls silent read it once the store is back. */
    void storeSilent(boolean silent) {
        long now = MonotonicClock.millis();
        current.filter(one -> now < one.knownMillis)
                .ifPresent(one -> one.knownMillis = silent ? Long.MAX_VALUE : now + READ_AGAIN_MILLIS);
    }

    /** Adds an endpoint that starts cold. */
    void addCold(String hall, String id, String service, long version) {
        coldSinceMillis.put(id, MonotonicClock.millis());
        platform.setColdFor(id, COLD_MILLIS);
        platform.addEndpointIn(hall, id, service, version);
    }

    // -- what must hold

    /** What endpoints in evacuated data halls received. */
    List<String> receivedInEvacuatedHalls() {
        List<String> wrong = new ArrayList<>();
        platform.endpoints()
                .forEach((id, endpoint) -> endpoint.received().stream()
                        .filter(request -> evacuations.stream()
                                .anyMatch(one -> one.hall.equals(platform.dataHall(id))
                                        && request.receivedMillis() > one.knownMillis
                                        && request.receivedMillis() < one.untilMillis))
                        .forEach(request -> wrong.add(id + " at " + request.receivedMillis())));
        return wrong;
    }

    /** The seconds in which cold endpoints received more than they bear. */
    List<String> secondsOverColdLimit() {
        List<String> wrong = new ArrayList<>();
        coldSinceMillis.forEach((id, since) -> {
            List<Long> arrivals = platform.endpoint(id).received().stream()
                    .map(ReceivedRequest::receivedMillis)
                    .filter(at -> at < since + COLD_MILLIS)
                    .toList();
            arrivals.stream()
                    .filter(from -> arrivals.stream()
                                    .filter(at -> at >= from && at < from + 1_000)
                                    .count()
                            > MAX_COLD_IN_SECOND)
                    .forEach(from -> wrong.add(id + " from " + (from - since)));
        });
        return wrong;
    }
}
