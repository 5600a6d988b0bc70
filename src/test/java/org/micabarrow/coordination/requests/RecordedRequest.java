package org.micabarrow.coordination.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;

/** A request that records the response its caller received. */
final class RecordedRequest implements ResponseListener {

    final String key;
    final StringBuilder body = new StringBuilder();
    final List<Outcome> outcomes = new ArrayList<>();

    RecordedRequest(String key) {
        this.key = key;
    }

    @Override
    public void onHead(ResponseHead head) {
        assertEquals(0, body.length());
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        body.append(new String(data, StandardCharsets.UTF_8));
        more.run();
    }

    @Override
    public void onEnd(Outcome outcome) {
        outcomes.add(outcome);
    }
}
