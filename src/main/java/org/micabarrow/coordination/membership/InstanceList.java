package org.micabarrow.coordination.membership;

import java.util.List;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Result;

/** The platform's list of live and leaving instances, which lags. */
public interface InstanceList {

    /**
     * Reads the list.
     *
     * @return the instances listed
     */
    Result<List<Instance>> read();
}
