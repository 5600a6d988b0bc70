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

/** Parses other processes' replies to reads of the configuration: its records, or a copy of its folded state. */
final class RecordsReplyParser {

    private RecordsReplyParser() {}

    /** Returns the records of a reply. */
    static PlatformLog.Page page(RecordsReply reply) {
        return new PlatformLog.Page(
                reply.getFirst(),
                reply.getRecordsList().stream()
                        .map(logRecord -> new PlatformLog.Entry(
                                logRecord.getOffset(),
                                logRecord.getAtMillis(),
                                logRecord.getBody().toByteArray()))
                        .toList(),
                ageMillis(reply));
    }

    /**
     * Returns the age of a reply. A relay that is cut off from the log still replies, so the age of its reply is the time since
     * its own last contact with the log.
     */
    private static long ageMillis(RecordsReply reply) {
        return reply.hasHeardMillisAgo() ? Math.max(0, reply.getHeardMillisAgo()) : PlatformLog.Page.UNKNOWN_AGE;
    }

    /** Returns the folded state of a reply, with the digest that the peer reported. */
    static Result<ConfigurationReader.StateCopy> stateCopy(String address, RecordsReply reply) {
        if (reply.getCheckpoint().isEmpty()) {
            return Result.failure(Fault.of(Step.LOG, address, Reason.NOT_READY, "the peer has no configuration"));
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
