package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.transport.QuerySchedule.Host;

/**
 * Plays the queries of all entries of a deployment for some seconds without sockets: what each entry and each agent
 * sends and receives, and how old the reports are that entries select by.
 */
class QueryPlayTest {

    private static final int REGIONS = 3;
    private static final int ROUND_MILLIS = 150;
    private static final int ROUNDS = 200;
    private static final double SECONDS = ROUNDS * ROUND_MILLIS / 1_000.0;

    /** One datagram in a hundred is lost. */
    private static final double LOSS = 0.01;

    /** The most queries a second of an entry, whatever the number of agents: 96 hosts, all of them in its region. */
    private static final double MAX_QUERIES_PER_SECOND = 96 * 1_000.0 / ROUND_MILLIS;

    /**
     * How old reports may be, in milliseconds: entries pass an agent of their own region over after 400 ms without
     * contact, of other regions after 1 s.
     */
    private static final int OWN_REGION_TIMEOUT_MILLIS = 400;

    private static final int OTHER_REGION_TIMEOUT_MILLIS = 1_000;

    /** One deployment. */
    private static final class Play {

        private final int entries;
        private final int agents;
        private final Random random = new Random(7);
        private final List<QuerySchedule> schedules = new ArrayList<>();
        private final List<List<Host>> hosts = new ArrayList<>();
        private final Map<String, Integer> indexes = new HashMap<>();
        private final int[] sent;
        private final int[] received;
        private final int[][] reportedRounds;
        private IntPredicate alive = agent -> true;
        private int maxOwnAge;
        private int maxOtherAge;
        private long ages;
        private long decisions;

        private Play(int entries, int agents) {
            this.entries = entries;
            this.agents = agents;
            for (int agent = 0; agent < agents; agent++) {
                indexes.put(address(agent), agent);
            }
            this.sent = new int[entries];
            this.received = new int[agents];
            this.reportedRounds = new int[entries][agents];
            for (int entry = 0; entry < entries; entry++) {
                QuerySchedule schedule = new QuerySchedule("entry-" + entry);
                schedules.add(schedule);
                hosts.add(hostsOf(entry));
                schedule.update(hosts.get(entry));
                Arrays.fill(reportedRounds[entry], -1);
            }
        }

        private List<Host> hostsOf(int entry) {
            List<Host> hosts = new ArrayList<>();
            for (int agent = 0; agent < agents; agent++) {
                hosts.add(new Host(address(agent), agent % REGIONS == entry % REGIONS));
            }
            return hosts;
        }

        private static String address(int agent) {
            return "10." + agent % REGIONS + "." + agent / 250 + "." + agent % 250;
        }

        private void play(int from, int until) {
            for (int round = from; round < until; round++) {
                for (int entry = 0; entry < entries; entry++) {
                    playEntry(entry, round);
                }
            }
        }

        private void playEntry(int entry, int round) {
            List<Host> due = schedules.get(entry).due(hosts.get(entry), host -> false, round);
            for (Host host : due) {
                sent[entry]++;
                int agent = indexes.get(host.address());
                if (random.nextDouble() >= LOSS && alive.test(agent)) {
                    received[agent]++;
                    if (random.nextDouble() >= LOSS) {
                        reportedRounds[entry][agent] = round;
                    }
                }
            }
            decide(entry, round);
        }

        /** A decision at the end of the round, by the reports of all agents that are queried. */
        private void decide(int entry, int round) {
            for (int agent = 0; agent < agents; agent++) {
                Host host = hosts.get(entry).get(agent);
                int reported = reportedRounds[entry][agent];
                if (alive.test(agent) && schedules.get(entry).isChosen(host.address()) && reported >= 0) {
                    int age = (round - reported + 1) * ROUND_MILLIS;
                    maxOwnAge = host.sameRegion() ? Math.max(maxOwnAge, age) : maxOwnAge;
                    maxOtherAge = host.sameRegion() ? maxOtherAge : Math.max(maxOtherAge, age);
                    ages += age;
                    decisions++;
                }
            }
        }

        private double maxSentPerSecond() {
            return Arrays.stream(sent).max().orElseThrow() / SECONDS;
        }

        private double maxReceivedPerSecond() {
            return Arrays.stream(received).max().orElseThrow() / SECONDS;
        }
    }

    @ParameterizedTest
    @CsvSource({"14, 68", "26, 40", "100, 1000"})
    void shouldSendBoundedQueries(int entries, int agents) {
        Play play = new Play(entries, agents);
        play.play(0, ROUNDS);
        assertTrue(
                play.maxSentPerSecond() <= MAX_QUERIES_PER_SECOND,
                play.maxSentPerSecond() + " queries a second of an entry");
        // Twice the even share: subsets are chosen at random, and agents of all regions take part.
        double evenShare = entries * MAX_QUERIES_PER_SECOND / agents;
        assertTrue(
                play.maxReceivedPerSecond() <= Math.max(2 * evenShare, entries * 1_000.0 / ROUND_MILLIS),
                play.maxReceivedPerSecond() + " queries a second at an agent");
    }

    /** Ten times the entries and agents: an entry and an agent handle a few times as much, since the bound is above
     * what the smaller deployment needs, and not ten or a hundred times. */
    @Test
    void shouldNotGrowWithProductOfEntriesAndAgents() {
        Play small = new Play(10, 100);
        small.play(0, ROUNDS);
        Play large = new Play(100, 1_000);
        large.play(0, ROUNDS);
        assertTrue(
                large.maxSentPerSecond() < 2.5 * small.maxSentPerSecond(),
                large.maxSentPerSecond() + " instead of " + small.maxSentPerSecond());
        assertTrue(
                large.maxReceivedPerSecond() < 5 * small.maxReceivedPerSecond(),
                large.maxReceivedPerSecond() + " instead of " + small.maxReceivedPerSecond());
    }

    @ParameterizedTest
    @CsvSource({"14, 68", "26, 40"})
    void shouldKeepReportsFreshWhenDatagramsAreLost(int entries, int agents) {
        Play play = new Play(entries, agents);
        play.play(0, ROUNDS);
        double mean = (double) play.ages / play.decisions;
        assertTrue(mean < OWN_REGION_TIMEOUT_MILLIS, "mean age " + mean);
        // Two losses in a row, one in some thousand, age a report by as much again.
        assertTrue(play.maxOwnAge <= 2 * OWN_REGION_TIMEOUT_MILLIS, "age " + play.maxOwnAge);
        assertTrue(play.maxOtherAge <= 2 * OTHER_REGION_TIMEOUT_MILLIS, "age " + play.maxOtherAge);
    }

    @Test
    void shouldNoticeDeadAgentWithinTimeoutOfItsRegion() {
        Play play = new Play(14, 68);
        play.play(0, ROUNDS / 2);
        play.alive = agent -> agent != 3;
        play.play(ROUNDS / 2, ROUNDS);
        for (int entry = 0; entry < 14; entry++) {
            int silentMillis = (ROUNDS - play.reportedRounds[entry][3]) * ROUND_MILLIS;
            assertTrue(silentMillis >= ROUNDS / 2 * ROUND_MILLIS, "entry " + entry + " has a report of a dead agent");
            List<Host> due = play.schedules.get(entry).due(play.hosts.get(entry), host -> false, ROUNDS);
            List<Host> next = play.schedules.get(entry).due(play.hosts.get(entry), host -> false, ROUNDS + 1);
            List<Host> last = play.schedules.get(entry).due(play.hosts.get(entry), host -> false, ROUNDS + 2);
            Host dead = play.hosts.get(entry).get(3);
            assertTrue(due.contains(dead) || next.contains(dead) || last.contains(dead), "it is not queried any more");
        }
    }

    @Test
    void shouldKnowAllAgentsAfterOneRoundWhenEntryStarts() {
        Play play = new Play(1, 40);
        play.play(0, 1);
        long known = Arrays.stream(play.reportedRounds[0])
                .filter(round -> round == 0)
                .count();
        // A first query or its reply may be lost.
        assertTrue(known >= 37, known + " of 40 agents have reported");
    }
}
