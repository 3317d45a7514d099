package sedgeyoke.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A disk in memory that keeps apart what a process sees and what a power cut leaves, and that lies when told to. Faults
 * come by seed; nothing else is random.
 */
public final class SimDisk implements Disk {
    private static final int SECTOR = 512;
    private long files;

    /** What a file is to the process, and what is known to last of it. */
    private final class Content {
        byte[] seen = new byte[0];
        byte[] lasting = new byte[0];
        /** Sectors written since the last force that held. */
        final TreeSet<Integer> dirty = new TreeSet<>();
        /** What was there before, for reads that return it. */
        byte[] old;

        final long identity;

        Content(long identity) {
            this.identity = identity;
        }
    }

    /** The process ended in the middle of an operation. */
    public static final class Cut extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private TreeMap<String, Content> names = new TreeMap<>();
    private TreeMap<String, Content> lastingNames = new TreeMap<>();
    private final SplittableRandom random;
    /** Operations until the process is cut off; negative for never. */
    public int cutAfter = -1;
    /** Forces return and do nothing. */
    public boolean forceLies;
    /** The next write lands elsewhere in its file. */
    public boolean misdirect;
    /** The next write does not happen, and says that it did. */
    public boolean loseWrite;
    /** Reads of this file give what was there before its last write; null for none. */
    public String staleReads;
    /** What every write, force or creation says; null if it works. */
    public DiskException.Kind refuses;
    /** Only forces say it. */
    public boolean refusesForceOnly;
    /** Forces so far, for figures. */
    public int forces;
    /** Operations that change something so far. */
    public int operations;

    /** Faults of this disk come by this seed. */
    public SimDisk(long seed) {
        this.random = new SplittableRandom(seed);
    }

    private SimDisk(SimDisk from, long seed) {
        this.random = new SplittableRandom(seed);
        this.files = from.files;
        IdentityHashMap<Content, Content> copies = new IdentityHashMap<>();
        from.names.forEach((n, c) -> names.put(n, copies.computeIfAbsent(c, this::copyOf)));
        from.lastingNames.forEach((n, c) -> lastingNames.put(n, copies.computeIfAbsent(c, this::copyOf)));
    }

    private Content copyOf(Content from) {
        Content c = new Content(files++);
        c.seen = from.seen.clone();
        c.lasting = from.lasting.clone();
        c.dirty.addAll(from.dirty);
        return c;
    }

    /** What is on it now, as another disk: a backup. */
    public SimDisk copy(long seed) {
        return new SimDisk(this, seed);
    }

    private void operation(String name, boolean force) throws DiskException {
        operations++;
        if (cutAfter == 0) {
            throw new Cut();
        }
        cutAfter--;
        if (refuses != null && (force || !refusesForceOnly)) {
            throw new DiskException(refuses, name, "the simulation says no");
        }
    }

    private Content content(String name) throws DiskException {
        Content c = names.get(name);
        if (c == null) {
            throw new DiskException(DiskException.Kind.GONE, name, "no such file");
        }
        return c;
    }

    @Override
    public List<String> names() {
        return new ArrayList<>(names.keySet());
    }

    @Override
    public long length(String name) {
        return names.containsKey(name) ? names.get(name).seen.length : -1;
    }

    @Override
    public String identity(String name) {
        return names.containsKey(name) ? "file" + names.get(name).identity : "";
    }

    @Override
    public byte[] read(String name, long at, int length) throws DiskException {
        Content c = content(name);
        byte[] from = name.equals(staleReads) && c.old != null ? c.old : c.seen;
        int start = (int) Math.min(at, from.length);
        return Arrays.copyOfRange(from, start, (int) Math.min(from.length, at + length));
    }

    @Override
    public void allocate(String name, long length) throws DiskException {
        operation(name, false);
        Content c = new Content(files++);
        c.seen = new byte[(int) length];
        for (int s = 0; s <= length / SECTOR; s++) {
            c.dirty.add(s);
        }
        names.put(name, c);
    }

    @Override
    public void write(String name, long at, byte[] bytes) throws DiskException {
        int whole = bytes.length;
        Content c = content(name);
        if (cutAfter == 0) { // a part of it may have got there
            int part = random.nextInt(whole + 1);
            put(c, (int) at, Arrays.copyOf(bytes, part));
        }
        operation(name, false);
        c.old = c.seen.clone();
        int to = (int) at;
        if (loseWrite) {
            loseWrite = false;
            return;
        }
        if (misdirect && c.seen.length > whole + SECTOR) {
            misdirect = false;
            to = random.nextInt(c.seen.length - whole);
        }
        put(c, to, bytes);
    }

    private void put(Content c, int at, byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        if (c.seen.length < at + bytes.length) {
            c.seen = Arrays.copyOf(c.seen, at + bytes.length);
        }
        System.arraycopy(bytes, 0, c.seen, at, bytes.length);
        for (int s = at / SECTOR; s <= (at + bytes.length - 1) / SECTOR; s++) {
            c.dirty.add(s);
        }
    }

    @Override
    public void force(String name) throws DiskException {
        operation(name, true);
        forces++;
        if (!forceLies) {
            Content c = content(name);
            c.lasting = c.seen.clone();
            c.dirty.clear();
        }
    }

    @Override
    public void forceNames() throws DiskException {
        operation("", true);
        forces++;
        if (!forceLies) {
            lastingNames = new TreeMap<>(names);
        }
    }

    @Override
    public void rename(String from, String to) throws DiskException {
        operation(from, false);
        names.put(to, content(from));
        names.remove(from);
    }

    @Override
    public void delete(String name) throws DiskException {
        operation(name, false);
        names.remove(name);
    }

    /** The power goes: of what was not forced, some sectors have lasted and some have not, and names as they were. */
    public void powerCut() {
        TreeMap<String, Content> after = new TreeMap<>(lastingNames);
        names.forEach((n, c) -> {
            if (random.nextBoolean() && (lastingNames.containsValue(c) || !lastingNames.containsKey(n))) {
                after.put(n, c); // a creation that lasted all the same
            }
        });
        after.values().forEach(c -> {
            byte[] left = Arrays.copyOf(c.lasting, random.nextBoolean() ? c.seen.length : c.lasting.length);
            for (int s : c.dirty) {
                int from = s * SECTOR;
                int to = Math.min(Math.min(from + SECTOR, left.length), c.seen.length);
                if (from < to && random.nextBoolean()) {
                    System.arraycopy(c.seen, from, left, from, to - from);
                }
            }
            c.seen = left;
            c.lasting = left.clone();
            c.dirty.clear();
            c.old = null;
        });
        names = after;
        lastingNames = new TreeMap<>(after);
        mend();
    }

    /** From now on it tells the truth; what is lost is lost. */
    public void mend() {
        cutAfter = -1;
        forceLies = false;
        misdirect = false;
        loseWrite = false;
        staleReads = null;
        refuses = null;
        refusesForceOnly = false;
    }

    /** Flips one bit of a file's content, where there is one that is not zero; false if there is none such. */
    public boolean flipBit(String name, int place, int bit) {
        Content c = names.get(name);
        if (c == null || c.seen.length == 0) {
            return false;
        }
        c.seen[place % c.seen.length] ^= (byte) (1 << bit % 8);
        c.lasting = c.seen.clone();
        return true;
    }

    /** Flips a bit somewhere in what has been written; false if there is nothing. */
    public boolean rot() {
        List<String> all = names();
        for (int tries = 0; tries < 50 && !all.isEmpty(); tries++) {
            String name = all.get(random.nextInt(all.size()));
            byte[] seen = names.get(name).seen;
            if (seen.length > 0) {
                int at = random.nextInt(seen.length);
                if (seen[at] != 0) {
                    return flipBit(name, at, random.nextInt(8));
                }
            }
        }
        return false;
    }

    /** Loses a file; the name of the one that it was, or null. */
    public String loseFile() {
        if (names.isEmpty()) {
            return null;
        }
        String name = names().get(random.nextInt(names.size()));
        names.remove(name);
        lastingNames.remove(name);
        return name;
    }

    /** Cuts a file off. */
    public void truncate(String name, int length) {
        Content c = names.get(name);
        c.seen = Arrays.copyOf(c.seen, length);
        c.lasting = c.seen.clone();
    }

    /** The content of a file as a process sees it. */
    public byte[] bytes(String name) {
        return names.get(name).seen.clone();
    }

    /** Everything is gone. */
    public void wipe() {
        names.clear();
        lastingNames.clear();
    }
}
