package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.transport.QuerySchedule.Host;

/** Which agents an entry queries, and when. */
class QueryScheduleTest {

    private static final int ROUNDS = 60;

    private final QuerySchedule schedule = new QuerySchedule("entry-1");

    private static List<Host> hosts(int own, int other) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < own; i++) {
            hosts.add(new Host("10.1." + i / 250 + "." + i % 250, true));
        }
        for (int i = 0; i < other; i++) {
            hosts.add(new Host("10.2." + i / 250 + "." + i % 250, false));
        }
        return hosts;
    }

    private Set<String> due(List<Host> hosts, int round) {
        Set<String> due = new HashSet<>();
        schedule.due(hosts, host -> false, round).forEach(host -> due.add(host.address()));
        return due;
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "23, 45", "64, 32", "96, 0", "0, 96"})
    void shouldQueryAllHostsInFirstRoundWhenThereAreFew(int own, int other) {
        List<Host> hosts = hosts(own, other);
        schedule.update(hosts);
        assertEquals(own + other, due(hosts, 0).size());
    }

    @Test
    void shouldQueryOwnRegionEachRoundAndOthersEachThirdRound() {
        List<Host> hosts = hosts(5, 20);
        schedule.update(hosts);
        Map<String, List<Integer>> rounds = new HashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (String host : due(hosts, round)) {
                rounds.computeIfAbsent(host, key -> new ArrayList<>()).add(round);
            }
        }
        for (Host host : hosts) {
            List<Integer> queried = rounds.get(host.address());
            int pause = host.sameRegion() ? 1 : QuerySchedule.OTHER_REGION_ROUNDS;
            for (int i = 1; i < queried.size(); i++) {
                int rest = queried.get(i) - queried.get(i - 1);
                assertTrue(i == 1 ? rest <= pause : rest == pause, host + " was queried in rounds " + queried);
            }
            assertTrue(queried.getLast() >= ROUNDS - pause, host + " was queried in rounds " + queried);
        }
    }

    @Test
    void shouldSpreadHostsOfOtherRegionsOverRounds() {
        List<Host> hosts = hosts(0, 30);
        schedule.update(hosts);
        due(hosts, 0);
        for (int round = 1; round < ROUNDS; round++) {
            int due = due(hosts, round).size();
            assertTrue(due < 20, due + " of 30 hosts are due in round " + round);
        }
    }

    @Test
    void shouldQueryNewHostAtOnce() {
        List<Host> hosts = new ArrayList<>(hosts(2, 2));
        schedule.update(hosts);
        due(hosts, 0);
        hosts.add(new Host("10.9.0.1", false));
        schedule.update(hosts);
        assertTrue(due(hosts, 1).contains("10.9.0.1"));
    }

    // -- more hosts than an entry queries

    @ParameterizedTest
    @CsvSource({"600, 400", "1000, 0", "0, 1000", "90, 10"})
    void shouldQueryBoundedSubsetWhenThereAreManyHosts(int own, int other) {
        List<Host> hosts = hosts(own, other);
        schedule.update(hosts);
        long chosen =
                hosts.stream().filter(host -> schedule.isChosen(host.address())).count();
        assertEquals(QuerySchedule.MAX_HOSTS, chosen);
        for (int round = 0; round < ROUNDS; round++) {
            assertTrue(due(hosts, round).size() <= chosen);
        }
    }

    @Test
    void shouldQueryHostBeyondSubsetWhenRequestsAreInFlightThere() {
        List<Host> hosts = hosts(600, 0);
        schedule.update(hosts);
        Host outside = hosts.stream()
                .filter(host -> !schedule.isChosen(host.address()))
                .findFirst()
                .orElseThrow();
        assertTrue(schedule.due(hosts, outside.address()::equals, 0).contains(outside));
        assertFalse(schedule.due(hosts, host -> false, 1).contains(outside));
    }

    @Test
    void shouldKeepSubsetWhenOneHostGoes() {
        List<Host> hosts = hosts(600, 0);
        schedule.update(hosts);
        List<Host> before =
                hosts.stream().filter(host -> schedule.isChosen(host.address())).toList();
        List<Host> remaining =
                hosts.stream().filter(host -> !host.equals(before.getFirst())).toList();
        schedule.update(remaining);
        assertTrue(before.stream().skip(1).allMatch(host -> schedule.isChosen(host.address())));
    }

    @Test
    void shouldChooseOtherSubsetWhenEntryIsAnother() {
        List<Host> hosts = hosts(600, 0);
        schedule.update(hosts);
        QuerySchedule other = new QuerySchedule("entry-2");
        other.update(hosts);
        assertFalse(
                hosts.stream().allMatch(host -> schedule.isChosen(host.address()) == other.isChosen(host.address())));
    }
}
