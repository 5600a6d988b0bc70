package org.micabarrow.serving;

import java.time.Duration;
import org.micabarrow.Await;
import org.micabarrow.platform.StoreClient;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.StoreFollower;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;

/** The platform's store in small, followed for a view of it. */
final class FollowedStore {

    private FollowedStore() {}

    /** Follows both topics, and waits until a manifest and an endpoint are known. */
    static void follow(HttpClient caller, HostedSettings settings, Duration within, ViewMaintainer views) {
        StoreClient store = new StoreClient(caller, settings.store(), within);
        StoreFollower.Pace pace = new StoreFollower.Pace(Duration.ofMillis(200), Duration.ZERO);
        new StoreFollower(Topic.OPERATOR, store, views, topic -> {}, pace).start();
        new StoreFollower(Topic.ENDPOINTS, store, views, topic -> {}, pace).start();
        Await.until(
                "the view",
                () -> views.view().manifest().isPresent()
                        && !views.view().endpoints().isEmpty());
    }
}
