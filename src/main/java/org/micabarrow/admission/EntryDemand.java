package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;

/**
 * What an entry tells agents about the demand of its clients.
 *
 * @param classes the demand of each priority class that has any, the most urgent first
 * @param organisations the organisations that use most, the heaviest first
 */
public record EntryDemand(List<ClassDemand> classes, List<OrganisationUsage> organisations) {

    /** The most classes that are told; less urgent ones are added to the last of them. */
    public static final int MAX_CLASSES = 8;

    /** The most organisations that are told. */
    public static final int MAX_ORGANISATIONS = 4;

    private static final EntryDemand NONE = new EntryDemand(List.of(), List.of());

    /** Copies the lists, which must not be longer than what is told. */
    public EntryDemand {
        classes = List.copyOf(Objects.requireNonNull(classes, "classes is null"));
        organisations = List.copyOf(Objects.requireNonNull(organisations, "organisations is null"));
        if (classes.size() > MAX_CLASSES || organisations.size() > MAX_ORGANISATIONS) {
            throw new IllegalArgumentException(
                    "demand of " + classes.size() + " classes and " + organisations.size() + " organisations");
        }
    }

    /**
     * Returns the demand of an entry without clients.
     *
     * @return no demand
     */
    public static EntryDemand none() {
        return NONE;
    }
}
