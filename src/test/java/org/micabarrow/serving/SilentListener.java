package org.micabarrow.serving;

import java.util.Map;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCaller;

/** A client that does nothing with its answer. */
final class SilentListener implements HttpCaller.Listener {

    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onData(byte[] data, Runnable more) {
        more.run();
    }

    @Override
    public void onComplete() {}

    @Override
    public void onFailed(Fault fault, boolean sent) {}
}
