package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * Numbered records in segments that are only ever appended to. A record lies in a segment of one generation; its
 * checksum covers folder, generation, place and number, so that one that was written to the wrong place, or is left of
 * an earlier use, is none. After each force of records a mark is written beside the segment and forced too: it says how
 * far records were promised and what their sums were. What is bad beyond the last mark was never promised and is left
 * out; what is bad before it has been promised and is gone: that is {@link Corruption}, and never taken for a torn
 * tail. Cutting off records from a number on begins a new segment, since a disk may give back what was there before.
 */
public final class SegmentLog {
    private static final String LOG = "log-";
    private static final String MARK = "mark-";
    private static final int MAGIC = 0x53594c31;
    private static final int HEAD = 32;
    private static final int RECORD_HEAD = 16;
    /** Divides the size of a sector, so that a mark is written whole or not at all. */
    private static final int MARK_BYTES = 32;

    private final Disk disk;
    private final long identity;
    private final int segmentBytes;
    private final Generations generations;
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final List<Corruption> damage = new ArrayList<>();
    /** Segments that are there but not believed, as they lie behind a part that is lost. */
    private final List<Long> beyond = new ArrayList<>();

    private long highestBegun;
    /** What was written and is not yet forced. */
    private boolean unforced;

    private boolean broken;

    /** One record. */
    public record Record(long index, byte[] payload) {}

    /** Is told of each new segment before it holds anything, and keeps the number where it cannot get lost. */
    public interface Generations {
        /** The highest generation is this from now on; returns once that is sure to be found again. */
        void begun(long generation) throws DiskException;
    }

    /** A segment as far as it is believed. */
    private static final class Segment {
        final long generation;
        final long first;
        final List<Record> records = new ArrayList<>();
        int end = HEAD;
        int size;
        int sum;
        int marks;
        /** Whether more may be appended: nothing unknown lies behind its end. */
        boolean clean = true;

        Segment(long generation, long first, int size) {
            this.generation = generation;
            this.first = first;
            this.size = size;
        }

        long next() {
            return first + records.size();
        }
    }

    private SegmentLog(Disk disk, long identity, int segmentBytes, Generations generations) {
        this.disk = disk;
        this.identity = identity;
        this.segmentBytes = segmentBytes;
        this.generations = generations;
    }

    /**
     * Reads a folder.
     *
     * @param identity of the folder; records of another one are none
     * @param segmentBytes how large segments are made
     * @param highest the highest generation that was begun as far as its keeper knows, 0 if none was
     */
    public static SegmentLog open(Disk disk, long identity, int segmentBytes, long highest, Generations generations)
            throws DiskException {
        SegmentLog log = new SegmentLog(disk, identity, segmentBytes, generations);
        log.read(highest);
        log.forceRecords();
        return log;
    }

    private static String name(String kind, long generation) {
        return kind + String.format(Locale.ROOT, "%016x", generation);
    }

    // ---- Reading -------------------------------------------------------------------------------------

    private void read(long highest) throws DiskException {
        highestBegun = highest;
        List<Long> found = new ArrayList<>();
        for (String name : disk.names()) {
            if (name.matches(LOG + "[0-9a-f]{16}")) {
                found.add(Long.parseUnsignedLong(name.substring(LOG.length()), 16));
            }
        }
        found.sort(null);
        for (long generation : found) {
            if (generation > highest) { // a crash before it held anything
                disk.delete(name(LOG, generation));
                disk.delete(name(MARK, generation));
            }
        }
        found.removeIf(generation -> generation > highest);
        long expected = found.isEmpty() ? 1 : found.get(0);
        if (highest > 0 && (found.isEmpty() || found.get(found.size() - 1) != highest)) {
            damage.add(new Corruption(name(LOG, highest), 0, 0, "the last segment is gone"));
        }
        for (long generation : found) {
            if (generation != expected) {
                damage.add(new Corruption(
                        name(LOG, expected), 0, 0, "segments are missing before " + name(LOG, generation)));
            }
            expected = generation + 1;
            if (damage.isEmpty()) {
                readSegment(generation);
            } else {
                beyond.add(generation);
            }
        }
    }

    private void readSegment(long generation) throws DiskException {
        String file = name(LOG, generation);
        ByteBuffer bytes =
                ByteBuffer.wrap(disk.read(file, 0, (int) Math.min(Integer.MAX_VALUE - 8, disk.length(file))));
        ByteBuffer mark = lastMark(generation);
        if (!headIsGood(bytes, generation)) {
            damage.add(
                    new Corruption(file, 0, mark == null ? 0 : mark.getLong(8), "no head of a segment of this folder"));
            beyond.add(generation);
            return;
        }
        Segment s = new Segment(generation, bytes.getLong(16), bytes.capacity());
        s.marks = mark == null ? 0 : mark.getInt(28);
        int promised = mark == null ? HEAD : mark.getInt(20);
        while (s.end < promised && readRecord(bytes, s)) {
            continue;
        }
        if (mark != null && (s.end != promised || s.sum != mark.getInt(4) || s.records.size() != mark.getInt(16))) {
            int from = s.end < promised ? s.records.size() : 0; // else an old block: which one cannot be told
            s.records.subList(from, s.records.size()).clear();
            damage.add(new Corruption(
                    file, from == 0 ? HEAD : s.end, s.next(), "records that were promised are not there"));
        }
        if (damage.isEmpty()) {
            int marked = s.end;
            while (readRecord(bytes, s)) { // whole, though no mark says so: the mark may be what is lost
                continue;
            }
            unforced = s.end > marked;
        }
        s.clean = zeros(bytes, s.end);
        if (!segments.isEmpty() && s.first > last() + 1) {
            damage.add(new Corruption(
                    file, 0, last() + 1, "begins with record " + s.first + ", the one before ends with " + last()));
            beyond.add(generation);
            return;
        }
        cutFrom(s.first);
        segments.put(generation, s);
    }

    private boolean headIsGood(ByteBuffer bytes, long generation) {
        return bytes.capacity() >= HEAD
                && bytes.getInt(0) == MAGIC
                && bytes.getLong(8) == generation
                && bytes.getInt(4) == headSum(generation, bytes.getLong(16));
    }

    private int headSum(long generation, long first) {
        return new Checksum().with(MAGIC, identity, generation, first).value();
    }

    private boolean readRecord(ByteBuffer bytes, Segment s) {
        if (bytes.capacity() - s.end < RECORD_HEAD) {
            return false;
        }
        int length = bytes.getInt(s.end);
        if (length < 0 || length > bytes.capacity() - s.end - RECORD_HEAD || bytes.getLong(s.end + 8) != s.next()) {
            return false;
        }
        byte[] payload = new byte[length];
        bytes.get(s.end + RECORD_HEAD, payload);
        int sum = recordSum(s, payload);
        if (bytes.getInt(s.end + 4) != sum) {
            return false;
        }
        add(s, payload, sum);
        return true;
    }

    private int recordSum(Segment s, byte[] payload) {
        return new Checksum()
                .with(identity, s.generation, s.end, s.next(), payload.length)
                .with(payload)
                .value();
    }

    private static void add(Segment s, byte[] payload, int sum) {
        s.records.add(new Record(s.next(), payload));
        s.end += RECORD_HEAD + payload.length;
        s.sum = new Checksum().with(s.sum, sum).value();
    }

    private static boolean zeros(ByteBuffer bytes, int from) {
        for (int i = from; i < bytes.capacity(); i++) {
            if (bytes.get(i) != 0) {
                return false;
            }
        }
        return true;
    }

    /** The last mark that is whole, or null. A bad one behind it says that something promised may be lost. */
    private ByteBuffer lastMark(long generation) throws DiskException {
        String file = name(MARK, generation);
        long length = disk.length(file);
        ByteBuffer last = null;
        boolean bad = false;
        byte[] all = length <= 0 ? new byte[0] : disk.read(file, 0, (int) length);
        for (int at = 0; at + MARK_BYTES <= all.length; at += MARK_BYTES) {
            ByteBuffer mark = ByteBuffer.wrap(all, at, MARK_BYTES).slice();
            if (mark.getInt(0) == markSum(mark, generation) && mark.getInt(28) == at / MARK_BYTES + 1) {
                last = mark;
                bad = false;
            } else {
                bad |= !zeros(mark, 0);
            }
        }
        if (bad || length < 0) {
            damage.add(new Corruption(
                    file,
                    0,
                    last == null ? 0 : last.getLong(8) + last.getInt(16),
                    length < 0 ? "the marks are gone" : "a mark is not whole"));
        }
        return last;
    }

    private int markSum(ByteBuffer mark, long generation) {
        return new Checksum()
                .with(
                        identity,
                        generation,
                        mark.getInt(4),
                        mark.getLong(8),
                        mark.getInt(16),
                        mark.getInt(20),
                        mark.getInt(28))
                .value();
    }

    /** A segment that begins before the last record of those before it has cut these off. */
    private void cutFrom(long first) {
        for (Segment s : segments.values()) {
            if (s.next() > first) {
                s.records
                        .subList((int) Math.max(0, first - s.first), s.records.size())
                        .clear();
            }
        }
    }

    // ---- What there is -------------------------------------------------------------------------------

    /** What was promised and cannot be believed, as found when the folder was read. */
    public List<Corruption> damage() {
        return List.copyOf(damage);
    }

    /** All records in order, without a gap. */
    public List<Record> records() {
        List<Record> all = new ArrayList<>();
        segments.values().forEach(s -> all.addAll(s.records));
        return all;
    }

    /** The number of the last record, or of the one before the first where there is none yet. */
    public long last() {
        return segments.isEmpty() ? 0 : segments.lastEntry().getValue().next() - 1;
    }

    // ---- Writing -------------------------------------------------------------------------------------

    /** Writes records, which must follow on; they are promised once {@link #force} has returned. */
    public void append(List<Record> records) throws DiskException {
        check();
        for (Record r : records) {
            Segment s = segments.isEmpty() ? null : segments.lastEntry().getValue();
            if (s != null && r.index() != s.next()) {
                throw new IllegalArgumentException("record " + r.index() + " after " + (s.next() - 1));
            }
            int length = RECORD_HEAD + r.payload().length;
            if (s == null || !s.clean || s.end + length > s.size) {
                forceRecords(); // the segment before is whole before the next one is begun
                s = begin(r.index(), Math.max(segmentBytes, HEAD + length));
            }
            int sum = recordSum(s, r.payload());
            write(
                    name(LOG, s.generation),
                    s.end,
                    ByteBuffer.allocate(length)
                            .putInt(r.payload().length)
                            .putInt(sum)
                            .putLong(r.index())
                            .put(r.payload())
                            .array());
            add(s, r.payload(), sum);
            unforced = true;
        }
    }

    private Segment begin(long first, int size) throws DiskException {
        long generation = highestBegun + 1;
        try {
            disk.allocate(name(LOG, generation), size);
            disk.allocate(name(MARK, generation), 0);
            byte[] head = ByteBuffer.allocate(HEAD)
                    .putInt(MAGIC)
                    .putInt(headSum(generation, first))
                    .putLong(generation)
                    .putLong(first)
                    .array();
            disk.write(name(LOG, generation), 0, head);
            disk.force(name(LOG, generation));
            disk.force(name(MARK, generation));
            disk.forceNames();
            generations.begun(generation);
        } catch (DiskException e) {
            broken = true;
            throw e;
        }
        Segment s = new Segment(generation, first, size);
        segments.put(generation, s);
        highestBegun = generation;
        return s;
    }

    private void write(String file, long at, byte[] bytes) throws DiskException {
        try {
            disk.write(file, at, bytes);
        } catch (DiskException e) {
            broken = true;
            throw e;
        }
    }

    /** Promises all that was appended: forces the records, then the mark that says so. */
    public void force() throws DiskException {
        check();
        forceRecords();
    }

    private void forceRecords() throws DiskException {
        if (!unforced) {
            return;
        }
        Segment s = segments.lastEntry().getValue();
        try {
            disk.force(name(LOG, s.generation));
            s.marks++;
            ByteBuffer mark = ByteBuffer.allocate(MARK_BYTES)
                    .putInt(4, s.sum)
                    .putLong(8, s.first)
                    .putInt(16, s.records.size())
                    .putInt(20, s.end)
                    .putInt(28, s.marks);
            mark.putInt(0, markSum(mark, s.generation));
            disk.write(name(MARK, s.generation), (long) (s.marks - 1) * MARK_BYTES, mark.array());
            disk.force(name(MARK, s.generation));
            unforced = false;
        } catch (DiskException e) {
            broken = true; // what was written since the last force may or may not be there
            throw e;
        }
    }

    /** Cuts off all records behind one, for good once it has returned. */
    public void truncate(long lastKept) throws DiskException {
        if (lastKept < last()) {
            continueBehind(lastKept);
        }
    }

    /** The next record is the one behind this, whatever there is: later ones are cut off, and a gap is left open. */
    public void continueBehind(long index) throws DiskException {
        check();
        forceRecords();
        cutFrom(index + 1);
        begin(index + 1, segmentBytes);
    }

    /**
     * Begins anew behind a snapshot that covers all up to a record, with such records; what was there before goes, bad
     * parts included, but not before the new ones are promised.
     */
    public void restart(long covered, List<Record> records) throws DiskException {
        check();
        List<Long> old = new ArrayList<>(segments.keySet());
        old.addAll(beyond);
        old.sort(null);
        forceRecords();
        cutFrom(0);
        begin(covered + 1, segmentBytes);
        append(records);
        forceRecords();
        drop(old);
        beyond.clear();
        damage.clear();
    }

    /** Deletes segments that hold nothing but records up to one that a snapshot covers. */
    public void dropThrough(long covered) throws DiskException {
        check();
        List<Long> old = new ArrayList<>();
        for (Segment s : segments.headMap(highestBegun).values()) {
            if (s.next() - 1 > covered) {
                break;
            }
            old.add(s.generation);
        }
        drop(old);
    }

    private void drop(List<Long> generationsToDrop) throws DiskException {
        try {
            for (long generation : generationsToDrop) { // oldest first: a crash in between leaves no gap
                disk.delete(name(LOG, generation));
                disk.delete(name(MARK, generation));
                segments.remove(generation);
            }
            if (!generationsToDrop.isEmpty()) {
                disk.forceNames();
            }
        } catch (DiskException e) {
            broken = true;
            throw e;
        }
    }

    private void check() {
        if (broken) { // never again as if it had not happened
            throw new IllegalStateException("the disk has failed a write or a force before");
        }
    }
}
