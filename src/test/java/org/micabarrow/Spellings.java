package org.micabarrow;

import java.util.Locale;

/** Other spellings of the name of a header field, which mean the same. */
public final class Spellings {

    private Spellings() {}

    /**
     * Returns a name in another case.
     *
     * @param name the name
     * @param upperCase the letters to write in upper case, by the bits of the number
     * @return the name in another spelling
     */
    public static String of(String name, long upperCase) {
        StringBuilder spelled = new StringBuilder();
        for (int i = 0; i < name.length(); i++) {
            boolean upper = (upperCase >> i & 1) == 1;
            String letter = name.substring(i, i + 1);
            spelled.append(upper ? letter.toUpperCase(Locale.ROOT) : letter.toLowerCase(Locale.ROOT));
        }
        return spelled.toString();
    }
}
