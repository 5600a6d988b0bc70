package org.micabarrow.memory;

/**
 * Estimates what JSON text takes up in memory while it is read into a tree: an empty object of three bytes becomes some eighty.
 * Marks within strings count too.
 */
public final class JsonMemory {

    /** What a name, a value, an object or an array takes up besides its text, in bytes; each has a mark before or after it. */
    private static final long MARK_BYTES = 50;

    /** How often a long text is in memory while a string is made of it: in characters of two bytes, and as the string. */
    private static final long TEXT_FACTOR = 3;

    private JsonMemory() {}

    /**
     * Estimates the size of a tree.
     *
     * @param json the text
     * @return bytes, those of the text not included
     */
    public static long treeBytes(byte[] json) {
        long marks = 0;
        for (byte next : json) {
            marks += next == ',' || next == ':' || next == '[' || next == '{' ? 1 : 0;
        }
        return Math.max(json.length * TEXT_FACTOR, json.length + marks * MARK_BYTES);
    }
}
