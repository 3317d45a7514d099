package sedgeyoke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** The rooms of the program and which way their doors open. */
class LayoutTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("sedgeyoke");

    /** Packages that decide: no input or output, no clock, no thread, no library. */
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
    void whatDecidesHasNoInputOutputClockOrThread() {
        pure(
                        "sedgeyoke.decide..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.body..",
                        "sedgeyoke.site..",
                        "sedgeyoke.emulate..",
                        "sedgeyoke.lease..",
                        "sedgeyoke.agree..")
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

    @Test
    void thatRuleCanFail() {
        assertThrows(AssertionError.class, () -> pure("sedgeyoke.net..").check(PROGRAM));
    }

    @Test
    void dependenciesPointOneWay() {
        slices().matching("sedgeyoke.(*)..").should().beFreeOfCycles().check(PROGRAM);
    }

    @Test
    void whatDecidesKnowsNoneOfTheOthers() {
        noClasses()
                .that()
                .resideInAPackage("sedgeyoke.decide..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "sedgeyoke.net..",
                        "sedgeyoke.wire..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.link..",
                        "sedgeyoke.operator..",
                        "sedgeyoke.cli..",
                        "sedgeyoke.standin..")
                .check(PROGRAM);
    }

    /** What the stand-ins know of the protocol must not come from the program that they judge. */
    @Test
    void standInsShareNoCodeWithTheProgram() {
        noClasses()
                .that()
                .resideInAPackage("sedgeyoke.standin..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "sedgeyoke.net..",
                        "sedgeyoke.wire..",
                        "sedgeyoke.decide..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.link..")
                .check(PROGRAM);
    }

    /** Libraries of features must not be loaded where the features are off. */
    @Test
    void theServingPathKnowsNoLibraryOfAFeature() {
        noClasses()
                .that()
                .resideInAnyPackage("sedgeyoke.net..", "sedgeyoke.decide..", "sedgeyoke.wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "picocli..",
                        "org.tomlj..",
                        "com.google.protobuf..",
                        "sedgeyoke.operator..",
                        "sedgeyoke.link..",
                        "sedgeyoke.plan..",
                        "sedgeyoke.agree..",
                        "sedgeyoke.store..")
                .check(PROGRAM);
        noClasses()
                .that()
                .haveSimpleName("Main")
                .and()
                .resideInAPackage("sedgeyoke.serve")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("sedgeyoke.operator..", "sedgeyoke.link..", "picocli..")
                .check(PROGRAM);
    }
}
