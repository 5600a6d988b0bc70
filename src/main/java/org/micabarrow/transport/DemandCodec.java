package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.micabarrow.admission.ClassDemand;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.OrganisationUsage;
import org.micabarrow.admission.SlotGrants;

/**
 * Encodes the demand of entries and what agents grant in the datagrams between them. Small numbers are written as
 * unsigned 16-bit integers; larger values are written as the greatest of these.
 */
final class DemandCodec {

    private static final int MAX_SHORT = 0xFFFF;

    private DemandCodec() {}

    // -- demand

    static ByteBuffer write(EntryDemand demand) {
        ByteBuffer content = ByteBuffer.allocate(
                2 + demand.classes().size() * (1 + 2 * Short.BYTES) + organisationsSize(demand.organisations()));
        content.put((byte) demand.classes().size());
        demand.classes().forEach(one -> {
            content.put(priority(one.priority()));
            writeShort(content, one.arrivalsPerSecond());
            writeShort(content, one.waiting());
        });
        writeOrganisations(content, demand.organisations());
        return content.flip();
    }

    static EntryDemand readDemand(ByteBuffer content) {
        List<ClassDemand> classes = readList(
                content,
                EntryDemand.MAX_CLASSES,
                one -> new ClassDemand(Byte.toUnsignedInt(one.get()), readShort(one), readShort(one)));
        return new EntryDemand(classes, readOrganisations(content));
    }

    // -- grants

    static ByteBuffer write(SlotGrants grants) {
        ByteBuffer content = ByteBuffer.allocate(
                2 + grants.classes().size() * (1 + Short.BYTES) + organisationsSize(grants.organisations()));
        content.put((byte) grants.classes().size());
        grants.classes().forEach(one -> {
            content.put(priority(one.priority()));
            writeShort(content, one.slots());
        });
        writeOrganisations(content, grants.organisations());
        return content.flip();
    }

    static SlotGrants readGrants(ByteBuffer content) {
        List<SlotGrants.ClassSlots> classes = readList(
                content,
                EntryDemand.MAX_CLASSES,
                one -> new SlotGrants.ClassSlots(Byte.toUnsignedInt(one.get()), readShort(one)));
        return new SlotGrants(classes, readOrganisations(content));
    }

    // -- both

    private static int organisationsSize(List<OrganisationUsage> organisations) {
        return organisations.size() * 2 * Integer.BYTES;
    }

    private static void writeOrganisations(ByteBuffer content, List<OrganisationUsage> organisations) {
        content.put((byte) organisations.size());
        organisations.forEach(one -> {
            content.putInt(one.token());
            content.putInt(one.tokensPerSecond());
        });
    }

    private static List<OrganisationUsage> readOrganisations(ByteBuffer content) {
        return readList(
                content, EntryDemand.MAX_ORGANISATIONS, one -> new OrganisationUsage(one.getInt(), one.getInt()));
    }

    private static <T> List<T> readList(ByteBuffer content, int max, Function<ByteBuffer, T> element) {
        int count = Byte.toUnsignedInt(content.get());
        if (count > max) {
            throw new IllegalArgumentException("a list of " + count + " elements, at most " + max + " are accepted");
        }
        List<T> elements = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            elements.add(element.apply(content));
        }
        return elements;
    }

    private static byte priority(int priority) {
        return (byte) Math.min(priority, 0xFF);
    }

    private static void writeShort(ByteBuffer content, int value) {
        content.putShort((short) Math.clamp(value, 0, MAX_SHORT));
    }

    private static int readShort(ByteBuffer content) {
        return Short.toUnsignedInt(content.getShort());
    }
}
