package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.SilentRelay;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;

/** What is believed of a store whose open connections fall silent for good, while new ones work. */
class SilentStoreTest {

    /** How long the store may hold a read; the time limit of an answer is beyond it. */
    private static final Duration HOLD = Duration.ofMillis(50);

    /** So long that a busy machine is hardly taken for a silent store; each silent connection costs it once. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final HostedStoreStandin store = new HostedStoreStandin();
    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), () -> System.nanoTime() / 1_000_000);
    private final List<Topic> asked = new ArrayList<>();
    private HttpListener listener;
    private SilentRelay relay;
    private HttpClient caller;

    @BeforeEach
    void start() throws Exception {
        String address = Ports.freeAddress();
        listener = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), store);
        relay = SilentRelay.to(address);
        caller = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        relay.close();
        listener.close();
    }

    private void manifest(long version) {
        store.append("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private Optional<Long> version() {
        return keeper.view().manifest().map(RouteManifest::version);
    }

    private StoreFollower follower(Topic topic) {
        StoreClient client = new StoreClient(caller, relay.address(), TIMEOUT);
        return new StoreFollower(topic, client, keeper, asked::add, new StoreFollower.PollTiming(HOLD, Duration.ZERO));
    }

    @Test
    void shouldTakeManifestInTheTurnInWhichConnectionTurnsOutSilent() {
        StoreFollower follower = follower(Topic.OPERATOR);
        manifest(1);
        follower.readOnce();
        follower.readOnce();
        assertEquals(Optional.of(1L), version());
        relay.silence();
        manifest(2);
        follower.readOnce();
        assertEquals(Optional.of(2L), version());
        assertEquals(List.of(), asked, "the store itself answers on a new connection");
        assertEquals(2, relay.accepted());
    }

    @Test
    void shouldNotDoubtThatEndpointIsGoneWhenOnlyConnectionFellSilent() {
        StoreFollower follower = follower(Topic.ENDPOINTS);
        store.append(
                "keyed.servers",
                "a",
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}");
        follower.readOnce();
        follower.readOnce();
        assertEquals(Set.of("a"), keeper.view().endpoints().keySet());
        relay.silence();
        store.append("keyed.servers", "a", "");
        follower.readOnce();
        follower.readOnce();
        assertEquals(Set.of(), keeper.view().endpoints().keySet());
    }
}
