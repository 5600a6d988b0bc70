package org.micabarrow.platform;

import java.nio.file.Path;
import java.util.Optional;

/** Where the platform puts the filled settings of a process. */
public final class SettingsFile {

    /** The environment variable that names the file. */
    public static final String VARIABLE = "MICABARROW_BOOT";

    private SettingsFile() {}

    /**
     * The file that the platform filled for this process.
     *
     * @return its path, empty outside the platform
     */
    public static Optional<Path> named() {
        return Optional.ofNullable(System.getenv(VARIABLE)).map(Path::of);
    }
}
