package org.micabarrow.transport;

import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpClient.Listener;

/** Ignores the response. */
public class IgnoringListener implements Listener {

    @Override
    public void onHead(int status, HeaderFields headers) {}

    @Override
    public void onData(byte[] data, Runnable requestMore) {
        requestMore.run();
    }

    @Override
    public void onComplete(BodyEnd end) {}

    @Override
    public void onFailed(Fault fault, boolean sent) {}
}
