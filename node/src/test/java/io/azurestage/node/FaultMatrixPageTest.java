package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that docs/fault-matrix.md matches the tests and the constants of Fault and Step. */
class FaultMatrixPageTest {
    private static final Path PAGE = Path.of("..", "docs", "fault-matrix.md");
    private static final Pattern TEST_REFERENCE =
            Pattern.compile("`([A-Za-z0-9]+Test)\\.([A-Za-z0-9]+)`");
    private static final Pattern NOTE_REFERENCE = Pattern.compile("\\(([0-9]+)\\)");

    private static List<String> cells(String line) {
        return Arrays.stream(line.split("\\|")).skip(1).map(String::trim).toList();
    }

    private static String label(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static Method method(String className, String name) throws Exception {
        Class<?> c = Class.forName("io.azurestage.node." + className);
        return Arrays.stream(c.getDeclaredMethods())
                .filter(m -> m.getName().equals(name))
                .filter(
                        m ->
                                m.isAnnotationPresent(Test.class)
                                        || m.isAnnotationPresent(ParameterizedTest.class))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no test " + className + "." + name));
    }

    private static void checkTest(String className, String name, Step step) throws Exception {
        EnumSource source = method(className, name).getAnnotation(EnumSource.class);
        if (source != null && source.value() == Step.class) {
            assertThat(source.names()).as(className + "." + name).contains(step.name());
        }
    }

    private static void checkCell(List<String> page, String cell, Step step) throws Exception {
        Matcher test = TEST_REFERENCE.matcher(cell);
        int found = 0;
        for (; test.find(); found++) {
            checkTest(test.group(1), test.group(2), step);
        }
        Matcher note = NOTE_REFERENCE.matcher(cell);
        for (; note.find(); found++) {
            String start = "- " + note.group() + " ";
            assertThat(page).as(note.group()).anyMatch(l -> l.startsWith(start));
        }
        assertThat(found).as(cell).isPositive();
    }

    // Guards against a combination of fault and step that has neither a test nor a reason.
    @Test
    void hasATestOrAReasonInEachCell() throws Exception {
        List<String> page = Files.readAllLines(PAGE);
        List<String> header =
                page.stream()
                        .filter(l -> l.startsWith("| fault |"))
                        .map(l -> cells(l))
                        .findFirst()
                        .orElseThrow();
        for (Fault f : Fault.values()) {
            List<String> row =
                    page.stream()
                            .filter(l -> l.startsWith("| " + label(f) + " |"))
                            .map(l -> cells(l))
                            .findFirst()
                            .orElseThrow(() -> new AssertionError("no row " + label(f)));
            for (Step s : Step.values()) {
                int column = header.indexOf(label(s));
                assertThat(column).as(label(s)).isPositive();
                assertThat(row).as(label(f)).hasSizeGreaterThan(column);
                checkCell(page, row.get(column), s);
            }
        }
    }

    @Test
    void namesOnlyTestsThatExist() throws Exception {
        Matcher m = TEST_REFERENCE.matcher(Files.readString(PAGE));
        int found = 0;
        for (; m.find(); found++) {
            method(m.group(1), m.group(2));
        }
        assertThat(found).isGreaterThan(Fault.values().length);
    }
}
