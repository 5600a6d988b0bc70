package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.bench.LocalOptions;
import org.micabarrow.bench.LocalSystem;

/**
 * What a process reads with ends before the connections and executors that it reads by. Readers that went on for a moment
 * began a call on executors that had stopped: "Thread is terminating", "Uncaught exception in the SynchronizationContext".
 */
class ReadersEndTest {

    /** Starts and ends of an entry, so that ends meet readers in different steps. */
    private static final int ROUNDS = 6;

    /** The names of the threads that read: the configuration, the list of instances, the claims. */
    private static final Set<String> READERS = Set.of("configuration-reader", "instance-list");

    private final LocalSystem system = LocalSystem.start(LocalOptions.quick());

    @AfterEach
    void stop() {
        system.close();
    }

    private static Set<Thread> readers() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> READERS.contains(thread.getName()) || isOfClaims(thread))
                .collect(Collectors.toSet());
    }

    private static boolean isOfClaims(Thread thread) {
        return thread.getName().matches("claims-[0-9]+-(reader|writer)");
    }

    @Test
    void shouldLeaveNoReaderBehindWhenEntryIsKilled() {
        Map<String, Throwable> uncaught = new ConcurrentHashMap<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> uncaught.put(thread.getName(), error));
        try {
            system.addEntry("entry-0", "norte", "norte-a");
            for (int round = 0; round < ROUNDS; round++) {
                endOneEntry("entry-1-" + round);
            }
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
        assertEquals(Map.of(), uncaught, "threads that ended by an exception");
    }

    /** The entry ends while it reads: records from the first one or the log, claims from the log. */
    private void endOneEntry(String id) {
        Set<Thread> others = readers();
        system.addEntry(id, "norte", "norte-a");
        system.publishInstances();
        Set<Thread> own = new HashSet<>(readers());
        own.removeAll(others);
        system.entry(id).kill();
        List<String> left = own.stream()
                .filter(Thread::isAlive)
                .map(Thread::getName)
                .sorted()
                .toList();
        assertEquals(List.of(), left, "readers that run on");
    }
}
