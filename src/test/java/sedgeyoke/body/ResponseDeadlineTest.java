package sedgeyoke.body;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.ResponseDeadline.Decision;

/** What the time of a request does to its response, by what is known of the response. */
class ResponseDeadlineTest {
    private static final int MICROS_PER_MILLI = 1_000;

    @ParameterizedTest
    @CsvSource({
        "300, 180, END",
        "65536, 65000, END",
        "65537, 0, CONTINUE",
        "-1, 65537, CONTINUE",
        "-1, 0, DECIDE_LATER",
        "-1, 65536, DECIDE_LATER",
    })
    void atTheDeadlineOnlyAResponseThatIsKnownToBeShortEnds(long declared, long received, Decision expected) {
        assertEquals(expected, ResponseDeadline.atDeadline(new ResponseProgress(declared, received, 400_000, false)));
    }

    @ParameterizedTest
    @CsvSource({
        "150, 850, false, true", // pieces of 30 bytes
        "0, 850, false, true",
        "150, 850, true, false", // the client takes no more, so that the upstream may have written much
        "10000, 850, false, false",
        "10000, 2850, false, false", // nothing came for two seconds
        "70000, 100000, false, false",
    })
    void afterTheGracePeriodAResponseEndsUnlessItArrivesLikeALongOne(
            long received, long elapsedMillis, boolean paused, boolean ends) {
        ResponseProgress progress = new ResponseProgress(-1, received, elapsedMillis * MICROS_PER_MILLI, paused);
        assertEquals(ends, ResponseDeadline.endsAfterGrace(progress));
    }
}
