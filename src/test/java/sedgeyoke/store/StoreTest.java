package sedgeyoke.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is believed of a folder after everything that a disk may do: by enumeration, not by chance. */
class StoreTest {
    private static final long IDENTITY = 77;
    private static final int SEGMENT = 400;
    private long highest;

    private SegmentLog open(Disk disk) throws DiskException {
        return SegmentLog.open(disk, IDENTITY, SEGMENT, highest, g -> highest = g);
    }

    private static SegmentLog.Record record(long index, String text) {
        return new SegmentLog.Record(index, text.getBytes());
    }

    /** Writes some, cuts two off, writes others in their place; promised counts up to the last force that returned. */
    private long script(SegmentLog log) throws DiskException {
        long promised = 0;
        for (int i = 1; i <= 6; i++) {
            log.append(List.of(record(i, "first " + i)));
            log.force();
            promised = i;
        }
        return promised;
    }

    private static List<String> texts(SegmentLog log) {
        return log.records().stream()
                .map(r -> r.index() + " " + new String(r.payload()))
                .toList();
    }

    @Test
    void whatWasForcedIsThereAndInOrder() throws Exception {
        SimDisk disk = new SimDisk(1);
        SegmentLog log = open(disk);
        script(log);
        log.truncate(4);
        log.append(List.of(record(5, "second 5")));
        log.force();
        disk.powerCut();
        SegmentLog again = open(disk);
        assertEquals(List.of(), again.damage());
        assertEquals(List.of("1 first 1", "2 first 2", "3 first 3", "4 first 4", "5 second 5"), texts(again));
        assertEquals(5, again.last());
        again.dropThrough(4);
        assertEquals(5, open(disk).last());
        again.restart(9, List.of(record(10, "after")));
        assertEquals(List.of("10 after"), texts(open(disk)));
    }

    /** The power goes at each operation of a series of writes: all that was promised is there, nothing is damage. */
    @Test
    void aPowerCutAtEachOperationLosesNothingPromised() throws Exception {
        for (int seed = 0; seed < 20; seed++) {
            boolean through = false;
            for (int cut = 0; !through; cut++) {
                highest = 0;
                SimDisk disk = new SimDisk(seed);
                SegmentLog log = open(disk);
                long promised = 0;
                long tried = 0;
                disk.cutAfter = cut;
                try {
                    for (int i = 1; i <= 8; i++) {
                        tried = i;
                        log.append(List.of(record(i, "x".repeat(i * 9))));
                        log.force();
                        promised = i;
                    }
                    log.truncate(5);
                    promised = 5;
                    through = true;
                } catch (SimDisk.Cut e) {
                    assertFalse(through);
                }
                disk.powerCut();
                SegmentLog again = open(disk);
                assertEquals(List.of(), again.damage(), "seed " + seed + " cut " + cut);
                assertTrue(again.last() >= promised && again.last() <= tried, again.last() + " of " + promised);
                again.append(List.of(record(again.last() + 1, "goes on")));
                again.force();
                long last = again.last();
                disk.powerCut();
                assertEquals(last, open(disk).last());
            }
        }
    }

    /** One bit of a segment or of its marks: the records are all there, or it is damage that is told; never others. */
    @Test
    void everySingleBitFlipIsToldOrHarmless() throws Exception {
        SimDisk clean = new SimDisk(1);
        script(open(clean));
        List<String> all = texts(open(clean));
        int told = 0;
        for (String file : clean.names()) {
            int length = clean.bytes(file).length;
            for (int bit = 0; bit < 8 * length; bit++) {
                SimDisk disk = clean.copy(1);
                disk.flipBit(file, bit / 8, bit % 8);
                SegmentLog log = open(disk);
                List<String> left = texts(log);
                assertEquals(all.subList(0, left.size()), left, file + " bit " + bit);
                if (left.size() < all.size()) {
                    assertFalse(log.damage().isEmpty(), file + " bit " + bit + " lost " + (all.size() - left.size()));
                    assertTrue(log.damage().get(0).from() <= left.size() + 1);
                    told++;
                }
            }
        }
        assertTrue(told > 1_000, "bits that matter: " + told);
    }

    @Test
    void everyTruncationIsToldOrHarmless() throws Exception {
        SimDisk clean = new SimDisk(1);
        script(open(clean));
        for (String file : clean.names()) {
            for (int length = 0; length < clean.bytes(file).length; length++) {
                SimDisk disk = clean.copy(1);
                disk.truncate(file, length);
                SegmentLog log = open(disk);
                assertTrue(log.records().size() == 6 || !log.damage().isEmpty(), file + " at " + length);
            }
        }
    }

    @Test
    void aFileThatIsGoneAndALostOrMisplacedWriteAreTold() throws Exception {
        SimDisk clean = new SimDisk(1);
        script(open(clean));
        for (String file : clean.names()) {
            SimDisk disk = clean.copy(1);
            disk.delete(file);
            assertFalse(open(disk).damage().isEmpty(), file);
        }
        for (boolean misdirect : List.of(true, false)) {
            highest = 0;
            SimDisk disk = new SimDisk(3);
            SegmentLog log = open(disk);
            script(log);
            disk.misdirect = misdirect;
            disk.loseWrite = !misdirect;
            log.append(List.of(record(7, "nowhere")));
            log.force();
            log.append(List.of(record(8, "there")));
            log.force();
            SegmentLog again = open(disk);
            assertTrue(!again.damage().isEmpty() || again.last() == 8, "misdirected " + misdirect);
        }
    }

    @Test
    void afterAFailedForceNothingIsTriedAgain() throws Exception {
        SimDisk disk = new SimDisk(1);
        SegmentLog log = open(disk);
        script(log);
        disk.refuses = DiskException.Kind.FAILED;
        disk.refusesForceOnly = true;
        log.append(List.of(record(7, "x")));
        assertThrows(DiskException.class, log::force);
        disk.mend();
        assertThrows(IllegalStateException.class, log::force);
        assertThrows(IllegalStateException.class, () -> log.append(List.of(record(8, "x"))));
    }

    @Test
    void aTwinFileIsTheOldOrTheNewWhereverItIsCut() throws Exception {
        for (int cut = 0; cut < 12; cut++) {
            for (int seed = 0; seed < 20; seed++) {
                SimDisk disk = new SimDisk(seed);
                DualCopyFile.open(disk, "slot").save("old".getBytes());
                DualCopyFile file = DualCopyFile.open(disk, "slot");
                disk.cutAfter = cut;
                boolean saved = false;
                try {
                    file.save("new".getBytes());
                    saved = true;
                } catch (SimDisk.Cut e) {
                    assertNotNull(e);
                }
                disk.powerCut();
                DualCopyFile again = DualCopyFile.open(disk, "slot");
                String found = new String(again.content().orElseThrow());
                assertTrue(found.equals("new") || !saved && found.equals("old"), found + " cut " + cut);
            }
        }
    }

    @Test
    void oneBadCopyOfATwinFileIsReplacedAndTwoAreTold() throws Exception {
        SimDisk disk = new SimDisk(1);
        DualCopyFile.open(disk, "slot").save("kept".getBytes());
        for (String copy : List.of("slot-a", "slot-b")) {
            for (int bit = 0; bit < 8 * disk.bytes(copy).length; bit++) {
                disk.flipBit(copy, bit / 8, bit % 8);
                assertArrayEquals(
                        "kept".getBytes(),
                        DualCopyFile.open(disk, "slot").content().orElseThrow());
            }
        }
        disk.flipBit("slot-a", 21, 1);
        disk.flipBit("slot-b", 22, 1);
        assertNotNull(DualCopyFile.open(disk, "slot").damage());
    }

    @Test
    void onlyAWholeSnapshotIsFound() throws Exception {
        SimDisk disk = new SimDisk(1);
        new Snapshots(disk, IDENTITY).save(new Snapshots.Snapshot(5, "five".getBytes()));
        for (int cut = 0; cut < 8; cut++) {
            SimDisk copy = disk.copy(cut);
            copy.cutAfter = cut;
            boolean saved = false;
            try {
                new Snapshots(copy, IDENTITY).save(new Snapshots.Snapshot(9, "nine".getBytes()));
                saved = true;
            } catch (SimDisk.Cut e) {
                assertNotNull(e);
            }
            copy.powerCut();
            Snapshots again = new Snapshots(copy, IDENTITY);
            long found = again.newest().orElseThrow().covered();
            assertTrue(found == 9 || !saved && found == 5, "cut " + cut + " found " + found);
        }
    }

    /** The real disk, with the names that could lead out of its folder. */
    @Test
    void aFolderIsHeldByOneAndReadBack(@TempDir Path folder) throws Exception {
        List<String> found = new ArrayList<>();
        try (FileDisk disk = FileDisk.take(folder)) {
            assertEquals(
                    DiskException.Kind.IN_USE,
                    assertThrows(DiskException.class, () -> FileDisk.take(folder))
                            .kind());
            assertThrows(IllegalArgumentException.class, () -> disk.length("../x"));
            script(open(disk));
            String identity = disk.identity("log-0000000000000001");
            disk.write("log-0000000000000001", SEGMENT - 1, new byte[1]);
            assertEquals(identity, disk.identity("log-0000000000000001"));
            assertEquals(
                    DiskException.Kind.GONE,
                    assertThrows(DiskException.class, () -> disk.read("no", 0, 1))
                            .kind());
        }
        try (FileDisk disk = FileDisk.take(folder)) {
            found.addAll(texts(open(disk)));
        }
        assertEquals(6, found.size());
    }
}
