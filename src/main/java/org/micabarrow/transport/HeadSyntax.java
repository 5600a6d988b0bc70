package org.micabarrow.transport;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Checks a head or a trailer against the grammar of HTTP/1.1 (RFC 9112, sections 2 to 6). Undertow's parsers accept more than the
 * grammar, and two readers of such a head may find different lengths of its body in it, or different fields.
 *
 * <p>A head is sound if its first line states HTTP/1.0 or HTTP/1.1 and, in a response, a status from 100 to 599; if each further line
 * consists of a name, a colon and a value; and if it states the length of its body once: by digits, by the chunked coding, or not at
 * all. Lines may end with a line feed alone. Not thread-safe.
 */
final class HeadSyntax {

    private static final int VERSION_LENGTH = "HTTP/1.1".length();
    private static final int STATUS_DIGITS = 3;

    /** How much of a first line is kept, in characters: a status line up to the blank after its status. */
    private static final int MAX_KEPT_OF_FIRST_LINE = VERSION_LENGTH + 1 + STATUS_DIGITS + 1;

    /** How many blanks a request line holds: before its target and before its version. */
    private static final int BLANKS_OF_REQUEST_LINE = 2;

    /** How much of a name is kept, in characters: more than the names of the fields that state a length have. */
    private static final int MAX_KEPT_OF_NAME = 24;

    /** How much is kept of the value of a field that states a length, in characters; no sound one is longer. */
    private static final int MAX_KEPT_OF_VALUE = 64;

    /** A length; with more digits it would overflow. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}( .*)?");

    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int MIN_FINAL_STATUS = 200;

    /** The only interim response after which Undertow's client waits for another head. */
    private static final int CONTINUE = 100;

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int SPACE = ' ';
    private static final int DELETE = 0x7f;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final String IDENTITY = "identity";

    private final HeadLines.Kind kind;
    private final StringBuilder name = new StringBuilder();
    private final StringBuilder value = new StringBuilder();
    private Optional<String> fault = Optional.empty();
    private Place place = Place.FIRST_LINE;
    private boolean afterReturn;
    private int blanks;
    private boolean version10;
    private boolean withoutBody;
    private Optional<String> length = Optional.empty();
    private Optional<String> coding = Optional.empty();

    private enum Place {
        FIRST_LINE,
        LINE_START,
        NAME,
        VALUE
    }

    HeadSyntax(HeadLines.Kind kind) {
        this.kind = Objects.requireNonNull(kind, "kind is null");
        clear();
    }

    /** Begins anew, with the first line of a head or the first field of a trailer. */
    void clear() {
        fault = Optional.empty();
        expectHead();
    }

    /** Expects the first line of a further head; a fault that was found stays. */
    void expectHead() {
        place = kind == HeadLines.Kind.TRAILER ? Place.LINE_START : Place.FIRST_LINE;
        afterReturn = false;
        name.setLength(0);
        value.setLength(0);
        blanks = 0;
        version10 = false;
        withoutBody = false;
        length = Optional.empty();
        coding = Optional.empty();
    }

    /** Why the lines so far are not sound; empty if they are. */
    Optional<String> fault() {
        return fault;
    }

    /** The length of the body, if the head shows it: as it states, or none by its status. */
    OptionalLong length() {
        if (withoutBody) {
            return OptionalLong.of(0);
        }
        return length.isPresent() && fault.isEmpty()
                ? OptionalLong.of(Long.parseLong(length.get()))
                : OptionalLong.empty();
    }

    // -- bytes

    /** Checks the next byte. */
    void accept(byte next) {
        if (fault.isPresent()) {
            return;
        }
        int character = next & 0xff;
        if (character == '\n') {
            afterReturn = false;
            endLine();
        } else if (afterReturn) {
            reject("a carriage return is not followed by a line feed");
        } else if (character == '\r') {
            afterReturn = true;
        } else {
            switch (place) {
                case FIRST_LINE -> acceptInFirstLine(character);
                case LINE_START -> acceptAtLineStart(character);
                case NAME -> acceptInName(character);
                case VALUE -> acceptInValue(character);
            }
        }
    }

    private void acceptInFirstLine(int character) {
        if (isControl(character)) {
            reject("its first line holds the character " + character);
        }
        if (kind == HeadLines.Kind.REQUEST && character == SPACE) {
            // Only what follows the last blank is kept, the version.
            blanks++;
            value.setLength(0);
        } else {
            keep(value, character, MAX_KEPT_OF_FIRST_LINE);
        }
    }

    private void acceptAtLineStart(int character) {
        if (character == SPACE || character == '\t') {
            reject("a line begins with a blank");
            return;
        }
        place = Place.NAME;
        acceptInName(character);
    }

    private void acceptInName(int character) {
        if (character == ':') {
            if (name.isEmpty()) {
                reject("a field has no name");
            }
            place = Place.VALUE;
        } else if (isTokenCharacter(character)) {
            keep(name, character, MAX_KEPT_OF_NAME);
        } else {
            reject("the name of a field holds the character " + character);
        }
    }

    private void acceptInValue(int character) {
        if (isControl(character)) {
            reject("the value of a field holds the character " + character);
        } else {
            keep(value, character, MAX_KEPT_OF_VALUE);
        }
    }

    private static void keep(StringBuilder text, int character, int max) {
        if (text.length() < max) {
            text.append((char) character);
        }
    }

    private static boolean isControl(int character) {
        return character < SPACE && character != '\t' || character == DELETE;
    }

    private static boolean isTokenCharacter(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }

    private void reject(String reason) {
        if (fault.isEmpty()) {
            fault = Optional.of(reason);
        }
    }

    // -- lines

    private void endLine() {
        switch (place) {
            case FIRST_LINE -> endFirstLine();
            case NAME -> reject("a line holds no colon");
            case VALUE -> endField();
            case LINE_START -> endHead();
        }
    }

    private void endFirstLine() {
        if (value.isEmpty() && blanks == 0) {
            // Empty lines before a head have no meaning.
            return;
        }
        String line = value.toString();
        if (kind == HeadLines.Kind.REQUEST) {
            checkVersion(blanks == BLANKS_OF_REQUEST_LINE ? line : "");
        } else {
            checkVersion(line.substring(0, Math.min(line.length(), VERSION_LENGTH)));
            checkStatus(line);
        }
        value.setLength(0);
        place = Place.LINE_START;
    }

    private void checkVersion(String version) {
        version10 = version.equals("HTTP/1.0");
        if (!version10 && !version.equals("HTTP/1.1")) {
            reject("its first line states neither HTTP/1.0 nor HTTP/1.1");
        }
    }

    private void checkStatus(String line) {
        if (!STATUS_LINE.matcher(line).matches()) {
            reject("its first line states no status");
            return;
        }
        String digits = line.substring(VERSION_LENGTH + 1, VERSION_LENGTH + 1 + STATUS_DIGITS);
        int status = Integer.parseInt(digits);
        if (status < MIN_STATUS || status > MAX_STATUS) {
            reject("its status is " + digits);
        } else if (status < MIN_FINAL_STATUS && status != CONTINUE) {
            reject("it is an interim response with status " + status);
        }
        withoutBody = status == NO_CONTENT || status == NOT_MODIFIED;
    }

    private void endField() {
        String text = value.toString().trim();
        switch (name.toString().toLowerCase(Locale.ROOT)) {
            case CONTENT_LENGTH -> checkLength(text);
            case TRANSFER_ENCODING -> checkCoding(text.toLowerCase(Locale.ROOT));
            default -> {}
        }
        name.setLength(0);
        value.setLength(0);
        place = Place.LINE_START;
    }

    private void checkLength(String text) {
        if (!LENGTH.matcher(text).matches()) {
            reject("its length is \"" + text + "\"");
        } else if (length.isPresent() && !length.get().equals(text)) {
            reject("its lengths are " + length.get() + " and " + text);
        } else {
            length = Optional.of(text);
        }
    }

    private void checkCoding(String text) {
        if (!text.equals(CHUNKED) && !text.equals(IDENTITY)) {
            reject("its transfer coding is \"" + text + "\"");
        } else if (coding.isPresent()) {
            reject("it states more than one transfer coding");
        } else {
            coding = Optional.of(text);
        }
    }

    private void endHead() {
        if (kind == HeadLines.Kind.TRAILER) {
            return;
        }
        if (coding.isPresent() && length.isPresent()) {
            reject("it states a transfer coding and a length");
        } else if (coding.isPresent() && version10) {
            reject("it states a transfer coding in HTTP/1.0");
        }
    }
}
