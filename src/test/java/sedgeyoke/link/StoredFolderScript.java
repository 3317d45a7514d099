package sedgeyoke.link;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.agree.Action;
import sedgeyoke.agree.Command;
import sedgeyoke.agree.Document;
import sedgeyoke.agree.Entry;
import sedgeyoke.agree.Member;
import sedgeyoke.agree.Members;
import sedgeyoke.agree.Outcome;
import sedgeyoke.agree.Registry;
import sedgeyoke.agree.Schema;
import sedgeyoke.agree.Slot;
import sedgeyoke.agree.SnapshotState;
import sedgeyoke.agree.Version;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskFault;
import sedgeyoke.store.FileDisk;

/** The calls that wrote the stored folder {@code keeper}; the same calls must go on writing the same bytes. */
final class StoredFolderScript {
    static final KeeperFolder.Owner OWNER =
            new KeeperFolder.Owner("orders", "k0", "0b9c3f5e-5d0a-4c1e-9a61-2f4b7c8d9e10", false);
    static final long FOLDER = 0x6b30_c0ff_ee01L;
    static final int SEGMENT_BYTES = 1_024;
    static final Members FOUNDERS = Members.of(List.of(
            new Member("k0", 0, "127.0.0.1:7100"),
            new Member("k1", 0, "127.0.0.1:7101"),
            new Member("k2", 0, "127.0.0.1:7102")));
    static final Members THREE = Members.of(List.of(
            new Member("k0", FOLDER, "127.0.0.1:7100"),
            new Member("k1", 11, "127.0.0.1:7101"),
            new Member("k2", 12, "127.0.0.1:7102")));
    static final Members JOINING = new Members(THREE.voters(), new Member("k3", 13, "127.0.0.1:7103"));
    private static final int BEFORE_WRITES = 2;
    private static final Map<String, Slot.Known> NOBODY = Map.of();

    private final KeeperFolder folder;
    private long token;

    /** A disk whose files have the same identity wherever they lie. */
    record KnownDisk(Disk disk) implements Disk {
        @Override
        public String identity(String name) {
            return "ino=" + (name.endsWith("-a") ? 1001 : 1002);
        }

        @Override
        public List<String> names() throws DiskFault {
            return disk.names();
        }

        @Override
        public long length(String name) throws DiskFault {
            return disk.length(name);
        }

        @Override
        public byte[] read(String name, long at, int length) throws DiskFault {
            return disk.read(name, at, length);
        }

        @Override
        public void allocate(String name, long length) throws DiskFault {
            disk.allocate(name, length);
        }

        @Override
        public void write(String name, long at, byte[] bytes) throws DiskFault {
            disk.write(name, at, bytes);
        }

        @Override
        public void force(String name) throws DiskFault {
            disk.force(name);
        }

        @Override
        public void forceNames() throws DiskFault {
            disk.forceNames();
        }

        @Override
        public void rename(String from, String to) throws DiskFault {
            disk.rename(from, to);
        }

        @Override
        public void delete(String name) throws DiskFault {
            disk.delete(name);
        }
    }

    private StoredFolderScript(KeeperFolder folder) {
        this.folder = folder;
    }

    /** Writes the folder. */
    static void write(Path at) throws DiskFault, KeeperFolder.Unusable {
        try (FileDisk files = FileDisk.take(at)) {
            Disk disk = new KnownDisk(files);
            KeeperFolder.make(disk, OWNER, FOLDER, FOUNDERS);
            new StoredFolderScript(KeeperFolder.open(disk, OWNER, SEGMENT_BYTES)).run();
        }
    }

    private void run() throws DiskFault {
        slot(new Slot(1, "k0", List.of(101L), NOBODY, true));
        append(new Entry(1, 1, new Command.Nothing()));
        append(new Entry(2, 1, new Command.Change(THREE)));
        for (int number = 1; number <= 6; number++) {
            writeVersion(number);
            if (number == 3) {
                snapshot(new SnapshotState(8, 1, state(3, Map.of())));
            }
        }
        snapshot(new SnapshotState(
                14,
                1,
                state(
                        6,
                        Map.of(
                                "request-late",
                                new Outcome(Outcome.Kind.CONFLICT, 6, "made from version 2, the newest is 6")))));
        slot(new Slot(2, "k2", List.of(102L, 101L), Map.of("k1", new Slot.Known(11, 201)), true));
        append(
                new Entry(15, 2, new Command.Nothing()),
                new Entry(16, 2, new Command.Change(JOINING)),
                new Entry(17, 2, write(7)));
        Map<String, Slot.Known> known = new LinkedHashMap<>();
        known.put("k1", new Slot.Known(11, 201));
        known.put("k2", new Slot.Known(12, 301));
        slot(new Slot(3, "k1", List.of(103L, 102L, 101L), known, true));
        persist(
                null,
                null,
                16,
                List.of(
                        new Entry(17, 3, new Command.Nothing()),
                        new Entry(18, 3, write(7)),
                        new Entry(19, 3, new Command.Activate(7))));
        append(new Entry(20, 3, write(8)));
    }

    private void writeVersion(int number) throws DiskFault {
        long index = BEFORE_WRITES + 2L * number - 1;
        append(new Entry(index, 1, write(number)));
        append(new Entry(index + 1, 1, new Command.Activate(number)));
    }

    private void slot(Slot slot) throws DiskFault {
        persist(slot, null, -1, List.of());
    }

    private void snapshot(SnapshotState state) throws DiskFault {
        persist(null, state, -1, List.of());
    }

    private void append(Entry... entries) throws DiskFault {
        persist(null, null, -1, List.of(entries));
    }

    private void persist(Slot slot, SnapshotState snapshot, long keep, List<Entry> entries) throws DiskFault {
        token++;
        folder.carryOut(new Action.Persist(token, slot, snapshot, -1, keep, entries));
    }

    private static Command.Write write(int number) {
        Version version = version(number);
        return new Command.Write(
                "request-" + number,
                version.parent(),
                version.author(),
                version.reason(),
                version.atMs(),
                version.content());
    }

    private static Version version(int number) {
        return number == 0
                ? Version.NONE
                : new Version(
                        number,
                        number - 1,
                        "operator-" + number % 5,
                        "change " + number,
                        1_700_000_000_000L + number,
                        content(number));
    }

    /** Each version sets one thing more; the last ones take some back. */
    private static Document content(int number) {
        return switch (number) {
            case 0 -> Document.EMPTY;
            case 1 -> content(0).with(Schema.RETRIES, 0.25).with(Schema.BALANCERS, 12);
            case 2 -> content(1).with(Schema.UPSTREAMS_OUT, Map.of("n-17", "disk", "n-4", "Übergang 4→5"));
            case 3 -> content(2).withTable(Schema.TENANT_SHARES, Map.of("shop", 0.5, "reports", 0.125));
            case 4 -> content(3).with(Schema.ZONES_OUT, Map.of("z-b", ""));
            case 5 -> content(4).with(Schema.REPEAT_GROUPS, Map.of("carts", "keyed"));
            case 6 -> content(5).with(Schema.COLD_SHARE, 0.5);
            case 7 -> content(6)
                    .with(Schema.COLD_SHARE, 0.75)
                    .with(Schema.UPSTREAMS_OUT, Map.of("n-4", "Übergang 4→5"));
            default -> content(7).with(Schema.ZONES_OUT, Map.of());
        };
    }

    private static Registry.State state(int active, Map<String, Outcome> more) {
        List<Version> history = new ArrayList<>();
        Map<String, Outcome> requests = new LinkedHashMap<>();
        for (int number = 0; number < active; number++) {
            history.add(version(number));
            requests.put("request-" + (number + 1), new Outcome(Outcome.Kind.DONE, number + 1, ""));
        }
        requests.putAll(more);
        return new Registry.State(THREE, version(active), null, history, requests);
    }
}
