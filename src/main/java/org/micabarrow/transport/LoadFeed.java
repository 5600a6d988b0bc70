package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.routing.EndpointChoice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.settings.Common;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Asks agents again and again how their endpoints are, and gives the answers to the choice of endpoints. */
public final class LoadFeed {

    private static final Logger LOG = LoggerFactory.getLogger(LoadFeed.class);

    /** How often agents of the entry's region are asked, in milliseconds: about as often as they look themselves. */
    private static final long NEAR_MILLIS = 150;

    /** Every how many rounds agents of other regions are asked: bytes between regions are paid for. */
    private static final int FAR_ROUNDS = 3;

    private final Parts parts;
    private final DatagramChannel channel;
    private final Map<String, String> endpointsByHost = new ConcurrentHashMap<>();
    private int round;

    /**
     * What a feed works with.
     *
     * @param place where the entry runs
     * @param regions the region of each data hall
     * @param peerPort the port at which agents are asked
     * @param view what is believed of the store
     * @param choice takes what agents tell
     * @param afterRound what to do after each round of questions, on the same thread
     * @param traffic the thread that owns the choice
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public record Parts(
            Common.Place place,
            Map<String, String> regions,
            int peerPort,
            Supplier<View> view,
            EndpointChoice choice,
            Runnable afterRound,
            XnioIoThread traffic,
            LongSupplier steadyMillis) {}

    private LoadFeed(Parts parts, DatagramChannel channel) {
        this.parts = parts;
        this.channel = channel;
    }

    /**
     * Starts a feed.
     *
     * @param parts what it works with
     * @throws IOException if no port is free
     */
    public static void start(Parts parts) throws IOException {
        LoadFeed feed = new LoadFeed(parts, DatagramChannel.open().bind(null));
        Thread.ofPlatform().name("load-feed").daemon().start(feed::receive);
        parts.traffic().execute(feed::askAll);
    }

    // -- questions, on the thread for traffic

    private void askAll() {
        View view = parts.view().get();
        Map<String, String> hosts = new HashMap<>();
        for (EndpointEntry endpoint : view.endpoints().values()) {
            if (isModel(view, endpoint)) {
                hosts.put(endpoint.instanceHost(), endpoint.id());
                if (round % FAR_ROUNDS == 0 || near(endpoint)) {
                    ask(endpoint);
                }
            }
        }
        endpointsByHost.keySet().retainAll(hosts.keySet());
        endpointsByHost.putAll(hosts);
        parts.choice().keepOnly(view.endpoints().keySet());
        round++;
        parts.afterRound().run();
        parts.traffic().executeAfter(this::askAll, NEAR_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static boolean isModel(View view, EndpointEntry endpoint) {
        return view.manifest()
                .flatMap(manifest -> manifest.service(endpoint.service()))
                .filter(service -> service.model().isPresent())
                .isPresent();
    }

    private boolean near(EndpointEntry endpoint) {
        return parts.place().region().equals(parts.regions().get(endpoint.dataHall()));
    }

    private void ask(EndpointEntry endpoint) {
        EndpointLoad load = parts.choice().load(endpoint.id());
        ByteBuffer question =
                LoadMessages.write(new LoadMessages.Question(parts.place().id(), load.ownPromptTokens()));
        try {
            channel.send(question, new InetSocketAddress(endpoint.instanceHost(), parts.peerPort()));
        } catch (IOException e) {
            LOG.debug("event=load_question_not_sent endpoint={} why=\"{}\"", endpoint.id(), e.toString());
        }
    }

    // -- answers, on a thread of their own

    private void receive() {
        while (channel.isOpen()) {
            try {
                LoadMessages.Received received = LoadMessages.receive(channel);
                String host = received.from().getAddress().getHostAddress();
                take(host, LoadMessages.told(received.bytes()));
            } catch (IOException e) {
                LOG.warn("event=load_answer_lost why=\"{}\"", e.toString());
            }
        }
    }

    private void take(String host, EndpointLoad.Told told) {
        String endpoint = endpointsByHost.get(host);
        if (endpoint != null) {
            parts.traffic()
                    .execute(() -> parts.choice()
                            .load(endpoint)
                            .told(told, parts.steadyMillis().getAsLong()));
        }
    }
}
