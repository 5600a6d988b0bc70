package org.micabarrow.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.List;
import org.micabarrow.headers.HeaderFields;

/** Converts header fields from and to Undertow's form. */
public final class HeaderMaps {

    private HeaderMaps() {}

    /**
     * Returns the fields of a message. Undertow keeps the order of the fields of one name only.
     *
     * @param headers the message's header
     * @return its fields
     */
    public static HeaderFields fields(HeaderMap headers) {
        List<HeaderFields.Field> fields = new ArrayList<>(headers.size());
        headers.forEach(values -> values.forEach(value ->
                fields.add(new HeaderFields.Field(values.getHeaderName().toString(), value))));
        return HeaderFields.of(fields);
    }

    /**
     * Adds fields to a message. They take the place of fields of the same names.
     *
     * @param headers the message's header
     * @param fields the fields
     */
    public static void putAll(HeaderMap headers, HeaderFields fields) {
        fields.forEach(field -> headers.remove(field.name()));
        fields.forEach(field -> headers.add(new HttpString(field.name()), field.value()));
    }
}
