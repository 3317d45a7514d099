package sedgeyoke.body;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UploadArrivalTest {
    private static final long BEGIN_MICROS = 1_000;
    private static final long HEAD_BYTES = 50;

    /** Guards against deadlines that start late: the missing bytes may have arrived directly after the check before. */
    @Test
    void anUploadOfDeclaredLengthArrivesWithItsLastUnreadByte() {
        UploadArrival arrival = new UploadArrival(300, BEGIN_MICROS);
        arrival.recordRead(100);
        assertEquals(UploadArrival.NOT_ARRIVED, arrival.check(HEAD_BYTES + 100, 199, 2_000));
        assertEquals(2_000, arrival.check(HEAD_BYTES + 100, 200, 3_000));
        assertEquals(2_000, arrival.check(HEAD_BYTES + 100, 900, 4_000), "a pipelined request follows");
        arrival.recordRead(200);
        assertEquals(2_000, arrival.endRead(HEAD_BYTES + 300, 5_000));
    }

    @Test
    void anUploadOfUnknownLengthArrivesWhenNoMoreBytesFollowTheUnreadOnes() {
        UploadArrival arrival = new UploadArrival(-1, BEGIN_MICROS);
        arrival.recordRead(100);
        assertEquals(UploadArrival.NOT_ARRIVED, arrival.check(150, 0, 2_000));
        assertEquals(2_000, arrival.check(150, 10, 3_000));
        assertEquals(3_000, arrival.check(150, 20, 4_000));
        assertEquals(3_000, arrival.check(150, 20, 5_000));
        assertEquals(3_000, arrival.check(160, 10, 6_000), "reading a part does not make more arrive");
        assertEquals(UploadArrival.NOT_ARRIVED, arrival.check(170, 0, 7_000), "all was read, and the end is missing");
    }

    @Test
    void anUploadThatIsReadToItsEndArrivesWithThatReadUnlessItWasWaitingBefore() {
        UploadArrival unknown = new UploadArrival(-1, BEGIN_MICROS);
        unknown.check(150, 10, 2_000);
        assertEquals(BEGIN_MICROS, unknown.endRead(160, 3_000));
        assertEquals(3_000, unknown.endRead(161, 3_000), "its end arrived after the check");

        UploadArrival declared = new UploadArrival(300, BEGIN_MICROS);
        declared.recordRead(300);
        assertEquals(3_000, declared.endRead(350, 3_000));
    }
}
