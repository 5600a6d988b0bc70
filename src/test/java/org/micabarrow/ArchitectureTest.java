package org.micabarrow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Holds the layers apart. */
@AnalyzeClasses(packages = "org.micabarrow", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule LOWER_LAYERS_DO_NOT_KNOW_HIGHER_ONES = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("state")
            .definedBy("org.micabarrow.state..")
            .layer("settings")
            .definedBy("org.micabarrow.settings..")
            .layer("coordination")
            .definedBy("org.micabarrow.coordination..")
            .layer("protocol")
            .definedBy("org.micabarrow.protocol..")
            .layer("transport")
            .definedBy("org.micabarrow.transport..")
            .layer("process")
            .definedBy("org.micabarrow.process..")
            .layer("command")
            .definedBy("org.micabarrow.command..")
            .layer("standin")
            .definedBy("org.micabarrow.standin..")
            .layer("bench")
            .definedBy("org.micabarrow.bench..")
            .whereLayer("settings")
            .mayOnlyBeAccessedByLayers("transport", "process", "command", "bench")
            .whereLayer("coordination")
            .mayOnlyBeAccessedByLayers("protocol", "transport", "process", "standin", "bench")
            .whereLayer("protocol")
            .mayOnlyBeAccessedByLayers("transport", "process", "command", "standin", "bench")
            .whereLayer("transport")
            .mayOnlyBeAccessedByLayers("process", "command", "standin", "bench")
            .whereLayer("process")
            .mayOnlyBeAccessedByLayers("command", "bench")
            .whereLayer("command")
            .mayOnlyBeAccessedByLayers("bench")
            .whereLayer("standin")
            .mayOnlyBeAccessedByLayers("command", "bench")
            .whereLayer("bench")
            .mayNotBeAccessedByAnyLayer();

    @ArchTest
    static final ArchRule STATE_HAS_NO_CLOCK_AND_NO_SOCKET = noClasses()
            .that()
            .resideInAPackage("org.micabarrow.state..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.time..", "java.util.concurrent..", "io..", "java.nio.file..");

    @ArchTest
    static final ArchRule DECISIONS_HAVE_NO_SOCKET = noClasses()
            .that()
            .resideInAPackage("org.micabarrow.coordination..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "io.grpc..", "io.undertow..", "org.xnio..");

    @ArchTest
    static final ArchRule ONLY_PROCESSES_KNOW_THE_USERS_PLATFORM = noClasses()
            .that()
            .resideOutsideOfPackages(
                    "org.micabarrow.platform..", "org.micabarrow.process..", "org.micabarrow.command..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.micabarrow.platform..");

    @ArchTest
    static final ArchRule CONCEPTS_HAVE_NO_SOCKET = noClasses()
            .that()
            .resideInAnyPackage(
                    "org.micabarrow.routing..",
                    "org.micabarrow.views..",
                    "org.micabarrow.attempts..",
                    "org.micabarrow.headers..",
                    "org.micabarrow.limits..",
                    "org.micabarrow.weights..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..",
                    "java.nio.channels..",
                    "io.grpc..",
                    "io.undertow..",
                    "org.xnio..",
                    "org.micabarrow.transport..",
                    "org.micabarrow.serving..",
                    "org.micabarrow.process..");

    @ArchTest
    static final ArchRule SERVING_IS_BELOW_PROCESSES = noClasses()
            .that()
            .resideInAnyPackage("org.micabarrow.serving..", "org.micabarrow.transport..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.micabarrow.process..", "org.micabarrow.command..");

    @ArchTest
    static final ArchRule BENCH_IS_USED_BY_NOTHING = noClasses()
            .that()
            .resideOutsideOfPackage("org.micabarrow.bench..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.micabarrow.bench..");

    @ArchTest
    static final ArchRule STANDINS_ARE_USED_BY_COMMANDS_AND_BENCH_ALONE = noClasses()
            .that()
            .resideOutsideOfPackages(
                    "org.micabarrow.standin..",
                    "org.micabarrow.platform.standin..",
                    "org.micabarrow.command..",
                    "org.micabarrow.bench..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("org.micabarrow.standin..", "org.micabarrow.platform.standin..");
}
