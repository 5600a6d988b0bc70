package org.micabarrow.transport.grpc;

import java.io.IOException;
import org.micabarrow.coordination.configuration.ConfigurationReader;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.protocol.wire.RecordsReply;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Result;

/** Reads what other processes tell of the configuration: its records, or a copy of its folded state. */
final class RecordReplies {

    private RecordReplies() {}

    /** The records of a reply. */
    static PlatformLog.Page page(RecordsReply reply) {
        return new PlatformLog.Page(
                reply.getFirst(),
                reply.getRecordsList().stream()
                        .map(one -> new PlatformLog.Entry(
                                one.getOffset(),
                                one.getAtMillis(),
                                one.getBody().toByteArray()))
                        .toList(),
                ageMillis(reply));
    }

    /** A relay that is cut off still answers, so its answer is as old as what it heard of the log. */
    private static long ageMillis(RecordsReply reply) {
        return reply.hasHeardMillisAgo() ? Math.max(0, reply.getHeardMillisAgo()) : PlatformLog.Page.UNKNOWN_AGE;
    }

    /** The folded state of a reply, with its digest as the peer told it. */
    static Result<ConfigurationReader.StateCopy> stateCopy(String address, RecordsReply reply) {
        if (reply.getCheckpoint().isEmpty()) {
            return Result.failure(Fault.of(Step.LOG, address, Reason.NOT_READY, "the peer knows no configuration"));
        }
        try {
            FoldedState state = CanonicalJson.read(reply.getCheckpoint().toByteArray(), FoldedState.class);
            return Result.success(
                    new ConfigurationReader.StateCopy(state, reply.getCheckpointDigest(), ageMillis(reply)));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(Step.LOG, address, Reason.CORRUPT, "the state cannot be read: " + e.getMessage()));
        }
    }
}
