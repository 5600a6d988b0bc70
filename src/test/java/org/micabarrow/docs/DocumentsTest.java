package org.micabarrow.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.micabarrow.settings.SettingsReader;

/** What the documents name exists. */
class DocumentsTest {

    private static final Pattern TEST = Pattern.compile("`(\\w+(?:Test|Properties))(?:\\.(should\\w+))?`");
    private static final Pattern LINK = Pattern.compile("\\]\\(((?!http)[^)#]+)\\)");
    private static final Pattern CLASS = Pattern.compile("`([A-Z][A-Za-z]+)(?:\\.\\w+)*`");

    private static String read(String file) throws IOException {
        return Files.readString(Path.of(file));
    }

    private static Path source(String root, String name) throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(root))) {
            return files.filter(file -> file.getFileName().toString().equals(name + ".java"))
                    .findFirst()
                    .orElse(null);
        }
    }

    @Test
    void shouldNameOnlyTestsThatExist() throws IOException {
        Set<String> missing = new TreeSet<>();
        Matcher named = TEST.matcher(read("docs/PROOFS.md"));
        int count = 0;
        while (named.find()) {
            count++;
            Path file = source("src/test/java", named.group(1));
            boolean there = file != null
                    && (named.group(2) == null || Files.readString(file).contains("void " + named.group(2) + "("));
            if (!there) {
                missing.add(named.group());
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(count > 30, "tests named: " + count);
    }

    @Test
    void shouldNameOnlyClassesThatExistInGlossaryAndCapacity() throws IOException {
        Set<String> missing = new TreeSet<>();
        for (String file : List.of("docs/GLOSSARY.md", "docs/CAPACITY.md")) {
            Matcher named = CLASS.matcher(read(file));
            while (named.find()) {
                if (source("src/main/java", named.group(1)) == null
                        && source("src/test/java", named.group(1)) == null) {
                    missing.add(named.group(1));
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    @Test
    void shouldLinkOnlyToFilesThatExist() throws IOException {
        Set<String> missing = new TreeSet<>();
        for (Path document : documents()) {
            Matcher link = LINK.matcher(Files.readString(document));
            while (link.find()) {
                Path parent = document.getParent() == null ? Path.of("") : document.getParent();
                if (!Files.exists(parent.resolve(link.group(1)))) {
                    missing.add(document + " -> " + link.group(1));
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    private static List<Path> documents() throws IOException {
        try (Stream<Path> docs = Files.walk(Path.of("docs"))) {
            return Stream.concat(
                            Stream.of("README.md", "CONTRIBUTING.md", "CHANGELOG.md")
                                    .map(Path::of),
                            docs.filter(file -> file.toString().endsWith(".md")))
                    .collect(Collectors.toList());
        }
    }

    @Test
    void shouldDescribeEverySetting() throws IOException {
        String described = read("docs/SETTINGS.md");
        Set<String> missing = new TreeSet<>();
        for (String pointer : SettingsReader.checkedFields()) {
            String field = pointer.substring(pointer.lastIndexOf('/') + 1);
            if (!described.contains(field)) {
                missing.add(pointer);
            }
        }
        assertEquals(Set.of(), missing);
        assertFalse(SettingsReader.checkedFields().isEmpty());
    }
}
