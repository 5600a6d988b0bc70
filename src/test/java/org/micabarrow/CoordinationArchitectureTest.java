package org.micabarrow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Holds the concepts of the coordination layer apart. */
@AnalyzeClasses(packages = "org.micabarrow", importOptions = ImportOption.DoNotIncludeTests.class)
class CoordinationArchitectureTest {

    @ArchTest
    static final ArchRule CONCEPTS_ARE_FREE_OF_CYCLES =
            slices().matching("org.micabarrow.coordination.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule EVERY_CLASS_BELONGS_TO_A_CONCEPT = noClasses()
            .that()
            .doNotHaveSimpleName("package-info")
            .should()
            .resideInAPackage("org.micabarrow.coordination");

    @ArchTest
    static final ArchRule CONCEPTS_KNOW_ONLY_WHAT_THEIR_PACKAGES_SAY = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("log")
            .definedBy("org.micabarrow.coordination.log..")
            .layer("membership")
            .definedBy("org.micabarrow.coordination.membership..")
            .layer("endpoint")
            .definedBy("org.micabarrow.coordination.endpoint..")
            .layer("admission")
            .definedBy("org.micabarrow.coordination.admission..")
            .layer("claims")
            .definedBy("org.micabarrow.coordination.claims..")
            .layer("configuration")
            .definedBy("org.micabarrow.coordination.configuration..")
            .layer("weights")
            .definedBy("org.micabarrow.coordination.weights..")
            .layer("routing")
            .definedBy("org.micabarrow.coordination.routing..")
            .layer("calls")
            .definedBy("org.micabarrow.coordination.calls..")
            .layer("requests")
            .definedBy("org.micabarrow.coordination.requests..")
            .layer("agents")
            .definedBy("org.micabarrow.coordination.agents..")
            .whereLayer("log")
            .mayNotAccessAnyLayer()
            .whereLayer("membership")
            .mayNotAccessAnyLayer()
            .whereLayer("endpoint")
            .mayNotAccessAnyLayer()
            .whereLayer("admission")
            .mayNotAccessAnyLayer()
            .whereLayer("claims")
            .mayOnlyAccessLayers("log")
            .whereLayer("configuration")
            .mayOnlyAccessLayers("log")
            .whereLayer("weights")
            .mayOnlyAccessLayers("endpoint")
            .whereLayer("routing")
            .mayOnlyAccessLayers("membership", "admission")
            .whereLayer("calls")
            .mayOnlyAccessLayers("claims")
            .whereLayer("requests")
            .mayOnlyAccessLayers("calls", "claims", "routing", "membership", "admission")
            .whereLayer("agents")
            .mayOnlyAccessLayers("calls", "claims", "configuration", "weights", "endpoint", "membership", "admission");
}
