package sedgeyoke;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between packages. */
class LayoutTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("sedgeyoke");

    /** The methods of {@link Math} that may return another result than those of {@link StrictMath}. */
    private static final Set<String> MACHINE_DEPENDENT = Set.of(
            "sin", "cos", "tan", "asin", "acos", "atan", "atan2", "exp", "log", "log10", "cbrt", "sinh", "cosh", "tanh",
            "hypot", "expm1", "log1p", "pow");

    /** The rule that packages use no I/O, clock, thread, source of randomness or library. */
    private static ArchRule pure(String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.util.concurrent..",
                        "java.time..",
                        "java.lang.reflect..",
                        "io.netty..",
                        "com.google..",
                        "com.fasterxml..",
                        "org.tomlj..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(
                        Thread.class, Runtime.class, ProcessHandle.class, java.util.Random.class, java.util.Timer.class)
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Math.class, "random");
    }

    @Test
    void decisionLogicUsesNoIoClockOrThread() {
        pure(
                        "sedgeyoke.policy..",
                        "sedgeyoke.plan",
                        "sedgeyoke.body..",
                        "sedgeyoke.model..",
                        "sedgeyoke.simulation..",
                        "sedgeyoke.lease..",
                        "sedgeyoke.consensus")
                .check(PROGRAM);
        noClasses()
                .that()
                .resideInAPackage("sedgeyoke.store..")
                .and()
                .haveNameNotMatching(".*FileDisk.*")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "com.google..")
                .check(PROGRAM);
    }

    /**
     * Guards against decisions that differ between kinds of processors: the last bits of these methods of {@link Math}
     * may depend on the machine, those of {@link StrictMath} do not.
     */
    @Test
    void decisionLogicComputesTheSameOnAllMachines() {
        reproducible("sedgeyoke.policy..", "sedgeyoke.plan", "sedgeyoke.model..", "sedgeyoke.simulation..")
                .check(PROGRAM);
    }

    @Test
    void ruleOfReproduciblePackagesFailsForThePackageOfTheStandIns() {
        assertThrows(
                AssertionError.class, () -> reproducible("sedgeyoke.standin..").check(PROGRAM));
    }

    private static ArchRule reproducible(String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .callMethodWhere(describe(
                        "the result may depend on the machine",
                        call -> call.getTargetOwner().isEquivalentTo(Math.class)
                                && MACHINE_DEPENDENT.contains(call.getName())));
    }

    @Test
    void ruleOfPurePackagesFailsForThePackageOfTheProxy() {
        assertThrows(AssertionError.class, () -> pure("sedgeyoke.proxy..").check(PROGRAM));
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching("sedgeyoke.(**)").should().beFreeOfCycles().check(PROGRAM);
    }

    @Test
    void policyDependsOnNoOtherLayer() {
        noClasses()
                .that()
                .resideInAPackage("sedgeyoke.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "sedgeyoke.proxy..",
                        "sedgeyoke.simulator..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.transport..",
                        "sedgeyoke.startup..",
                        "sedgeyoke.settings..",
                        "sedgeyoke.cli..",
                        "sedgeyoke.standin..")
                .check(PROGRAM);
    }

    /** Stand-ins implement the protocol on their own, since they are used to check the program. */
    @Test
    void standInsDoNotDependOnTheProgram() {
        noClasses()
                .that()
                .resideInAPackage("sedgeyoke.standin..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "sedgeyoke.proxy..",
                        "sedgeyoke.simulator..",
                        "sedgeyoke.policy..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.startup..",
                        "sedgeyoke.transport..")
                .check(PROGRAM);
    }

    /** Libraries of features must not be loaded where the features are off. */
    @Test
    void servingPathDependsOnNoLibraryOfAnOptionalFeature() {
        noClasses()
                .that()
                .resideInAnyPackage("sedgeyoke.proxy..", "sedgeyoke.policy..", "sedgeyoke.simulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "picocli..",
                        "org.tomlj..",
                        "com.google.protobuf..",
                        "sedgeyoke.settings..",
                        "sedgeyoke.startup..",
                        "sedgeyoke.transport..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.consensus..",
                        "sedgeyoke.store..")
                .check(PROGRAM);
        noClasses()
                .that()
                .haveSimpleName("BalancerMain")
                .and()
                .resideInAPackage("sedgeyoke.serve")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "sedgeyoke.settings..",
                        "sedgeyoke.startup..",
                        "sedgeyoke.transport..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.consensus..",
                        "picocli..")
                .check(PROGRAM);
    }
}
