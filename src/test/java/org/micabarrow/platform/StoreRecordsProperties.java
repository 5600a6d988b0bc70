package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Result;
import org.micabarrow.views.StoredRecord;

/** Whatever another writer leaves in the store, decoding it ends with a whole entry or a reason. */
class StoreRecordsProperties {

    private static final byte[] ENTRY =
            ("{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\",\"version\":\"v1\","
                            + "\"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\","
                            + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                            + "\"layers\":{\"from\":0,\"target_version\":16,\"version\":1},\"sequence\":4,\"born\":1764718674123}")
                    .getBytes(StandardCharsets.UTF_8);

    private final StoreRecords records = new StoreRecords();

    /** A byte that another writer put in the place of the right one. */
    record Change(int at, byte to) {}

    @Provide
    Arbitrary<List<Change>> changes() {
        Arbitrary<Byte> json = Arbitraries.of((byte) '"', (byte) '{', (byte) '}', (byte) '[', (byte) ',', (byte) ':');
        return Combinators.combine(
                        Arbitraries.integers().between(0, ENTRY.length - 1),
                        Arbitraries.oneOf(Arbitraries.bytes(), json))
                .as(Change::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(8);
    }

    private static byte[] changed(List<Change> changes) {
        byte[] bytes = ENTRY.clone();
        changes.forEach(change -> bytes[change.at()] = change.to());
        return bytes;
    }

    private static void whole(EndpointRegistration entry) {
        assertFalse(entry.service().isEmpty());
        assertTrue(entry.instanceHost().matches("[0-9]{1,3}([.][0-9]{1,3}){3}"), entry::address);
        assertTrue(entry.slots() > 0);
        assertTrue(entry.layers() >= 0);
    }

    @Property(tries = 5_000, seed = "7331")
    void shouldGiveWholeEntryOrReasonWhateverBytesAreChanged(@ForAll("changes") List<Change> changes) {
        Result<EndpointRegistration> read =
                records.decodeEndpointRegistration(new StoredRecord("i-1", 0, changed(changes)));
        read.toOptional().ifPresent(StoreRecordsProperties::whole);
    }

    @Property(tries = 2_000, seed = "7331")
    void shouldGiveReasonWhateverTheBytes(@ForAll byte[] bytes, @ForAll String key) {
        assertTrue(records.decodeEndpointRegistration(new StoredRecord(key, 0, bytes))
                .cause()
                .isPresent());
        records.decodeOperatorRecord(new StoredRecord("config", 0, bytes));
        records.decodeOperatorRecord(new StoredRecord("version/m", 0, bytes));
    }

    @Property(tries = 500, seed = "7331")
    void shouldGiveReasonWhereverEntryIsCut(@ForAll("lengths") int length) {
        byte[] cut = new byte[length];
        System.arraycopy(ENTRY, 0, cut, 0, length);
        assertTrue(records.decodeEndpointRegistration(new StoredRecord("i-1", 0, cut))
                .cause()
                .isPresent());
    }

    @Provide
    Arbitrary<Integer> lengths() {
        return Arbitraries.integers().between(0, ENTRY.length - 1);
    }
}
