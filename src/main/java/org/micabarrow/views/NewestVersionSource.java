package org.micabarrow.views;

import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;

/** Knows which weight version of a model was named last, independently of the store. */
@FunctionalInterface
public interface NewestVersionSource {

    /**
     * Requests the newest version.
     *
     * @param model the model
     * @return the version, or why it is not known
     */
    Result<Long> newestVersion(String model);

    /**
     * Returns a source that knows no version.
     *
     * @return the source
     */
    static NewestVersionSource none() {
        return model -> Result.failure(Fault.of(Step.FETCH, "origin", Reason.NOT_FOUND, "there is no origin"));
    }
}
