package org.micabarrow.platform;

import java.util.regex.Pattern;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.views.EraOffset;

/** Reads the era from answers of the store. */
final class StoreEra {

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,18}");

    private static final String FIRST = "0";

    private StoreEra() {}

    /** The era in which the store gave an answer; a store that states none is in its first. */
    static Result<Long> of(HttpCall call, HttpResponse answer) {
        String stated =
                answer.headers().joined(WireNames.STORE_ERA).orElse(FIRST).trim();
        return DECIMAL.matcher(stated).matches() && EraOffset.isEra(Long.parseLong(stated))
                ? Result.success(Long.parseLong(stated))
                : Result.failure(Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the store states no valid era"));
    }
}
