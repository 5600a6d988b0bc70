package org.micabarrow.serving;

import java.time.Duration;
import java.util.function.LongSupplier;
import org.micabarrow.Await;
import org.micabarrow.platform.StoreClient;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;

/** Follows the topics of the platform's test store to build a view. */
final class TopicFollowers {

    private TopicFollowers() {}

    /** Follows both topics by the clock of the views, and waits until a manifest and an endpoint are known. */
    static void startAndAwaitView(
            HttpClient caller,
            HostedSettings settings,
            Duration timeout,
            ViewMaintainer views,
            LongSupplier monotonicMillis) {
        StoreClient store = new StoreClient(caller, settings.store(), timeout, monotonicMillis, now -> now);
        StoreFollower.PollTiming timing = new StoreFollower.PollTiming(Duration.ofMillis(200), Duration.ZERO);
        new StoreFollower(Topic.OPERATOR, store, views, topic -> {}, timing).start();
        new StoreFollower(Topic.ENDPOINTS, store, views, topic -> {}, timing).start();
        Await.until(
                "the view",
                () -> views.view().manifest().isPresent()
                        && !views.view().endpoints().isEmpty());
    }
}
