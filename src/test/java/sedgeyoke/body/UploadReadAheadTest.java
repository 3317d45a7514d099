package sedgeyoke.body;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When the rest of an upload is read although its upstream takes no more. */
class UploadReadAheadTest {
    private static final long MIB = 1 << 20;

    @ParameterizedTest
    @CsvSource({
        "8, 3, 0, false", // the client still has at least a MiB to write
        "8, 4, 0, true",
        "8, 3, 1, true",
        "20, 8, 8, true",
        "20, 7, 9, false", // more than may be held
        "-1, 3, 0, false",
    })
    void theRestIsReadIfTheClientMayHaveWrittenAllOfIt(
            long declaredMib, long readMib, long unreadMib, boolean expected) {
        UploadReadAhead readAhead = new UploadReadAhead(BodyLimits.OPERATED, declaredMib * MIB);
        assertEquals(expected, readAhead.mayReadRest(readMib * MIB, unreadMib * MIB));
    }
}
