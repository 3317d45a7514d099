package sedgeyoke.consensus.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.ConfigSubscriber;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.RaftTiming;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.codec.ProtobufSnapshotCodec;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.consensus.storage.UnusableStorageException;
import sedgeyoke.lease.ClockDrift;
import sedgeyoke.simulation.SeededNetwork;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.SimDisk;

/**
 * Keepers on disks that lie, balancers that act on what they agree, operators that write, on one thread and by seed.
 * Checked at every step: one leader a term; what is committed never changes; no two balancers act on versions of which
 * neither knows the other's; versions only grow; alone nobody is looser than any version ever in force. Checked of the
 * history: whatever was answered is so, and in the order in which it was answered.
 */
final class ConsensusSimulation extends SeededNetwork {
    static final int DRIFT_PPM = 2_000;
    private static final int SEGMENT = 2_048;
    private static final long FAULTS_END = 25_000_000;
    private static final long END = 50_000_000;
    private static final int BALANCERS = 4;
    private static final int WRITERS = 2;
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(DRIFT_PPM), 24);

    /** What may be wrong on purpose. */
    static class Faults {
        Function<RaftTiming, SafetyRules> rules = SafetyRules::new;
        /** Whether what a folder has lost is taken for absent. */
        boolean trustsDamage;
        /** Whether a folder that was copied, or that outlived its machine's end, is believed. */
        boolean trustsReboots;
    }

    private final Faults faults;
    private final SafetyRules rules;
    private final List<KeeperBox> keepers = new ArrayList<>();
    private final List<BalancerBox> balancers = new ArrayList<>();
    private final List<Writer> writers = new ArrayList<>();
    private final Membership founders;
    private final boolean liars;
    private final Map<Long, String> leaders = new HashMap<>();
    /** What was ever seen as committed. */
    final TreeMap<Long, LogEntry> committed = new TreeMap<>();

    private final Set<String> bad = new HashSet<>();
    private long boots = 1;
    private long folders = 100;
    private long runs = 1;
    private boolean calmed;
    final List<Op> history = new ArrayList<>();
    /** Prints what keepers say, for whoever replays a seed. */
    boolean trace;

    int commits;
    int crashes;
    int diskFaults;
    int doubts;
    long leasedSteps;

    /** One request as whoever asked saw it. */
    static final class Op {
        final ClientRequest request;
        final long from;
        long until = Long.MAX_VALUE;
        RequestResult outcome;

        Op(ClientRequest request, long from) {
            this.request = request;
            this.from = from;
        }
    }

    private record Wire(String from, long folder, RaftMessage message) {}

    private record Ask(int from, long token, ClientRequest request) {}

    private record Answer(long token, RequestResult outcome) {}

    private record Lease(int from, LeaseRequest ask) {}

    private record Granted(LeaseResponse grant, ConfigVersion active, ConfigVersion pending) {}

    ConsensusSimulation(long seed, Faults faults) {
        super(seed);
        this.faults = faults;
        this.rules = faults.rules.apply(TIMING);
        this.liars = seed % 2 == 0;
        int size = random.nextInt(3) == 0 ? 5 : 3;
        List<Member> first = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            first.add(new Member("k" + i, 0, "k" + i));
        }
        founders = Membership.of(first);
        for (int i = 0; i < size; i++) {
            keepers.add(new KeeperBox("k" + i, seed));
        }
        for (int i = 0; i < BALANCERS; i++) {
            balancers.add(new BalancerBox("b" + i));
        }
        for (int i = 0; i < WRITERS; i++) {
            writers.add(new Writer());
        }
    }

    /** Plays it; what was broken, or null. */
    String play() {
        playUntil(FAULTS_END);
        if (breach == null) {
            calm();
            calmed = true;
            keepers.forEach(k -> k.disk.clearFaults());
            playUntil(END);
        }
        if (breach == null) {
            checkLiveness();
        }
        if (breach == null) {
            checkHistory();
        }
        return breach;
    }

    private void tell(String line) {
        if (trace) {
            System.out.printf("%7.2f s %s%n", now / 1e6, line);
        }
    }

    private void fail(String format, Object... what) {
        if (breach == null) {
            breach = String.format("at %.2f s: ", now / 1e6) + String.format(format, what);
        }
    }

    // ---- Misfortune ----------------------------------------------------------------------------------

    @Override
    protected void misfortune() {
        for (KeeperBox k : keepers) {
            if (chance(severity * 0.15)) {
                k.crash(now + random.nextLong(random.nextBoolean() ? 200_000 : 3_000_000));
                crashes++;
            } else if (chance(severity * 0.05)) {
                k.pausedUntil = now + (random.nextInt(4) == 0 ? 6_000_000 : random.nextLong(1_500_000));
            } else if (chance(severity * 0.08)) {
                k.stalledUntil = now + random.nextLong(3_000_000);
            } else if (chance(severity * 0.12)) {
                diskFault(k);
            }
        }
        for (BalancerBox b : balancers) {
            if (chance(severity * 0.08)) {
                b.crash(now + random.nextLong(1_000_000));
            } else if (chance(severity * 0.08)) {
                b.pausedUntil = now + random.nextLong(4_000_000);
            }
        }
        if (chance(severity * 0.8)) {
            flip(random.nextInt(processes()), random.nextInt(processes()));
        }
        if (chance(severity * 0.15)) {
            boolean[] side = new boolean[processes()];
            for (int i = 0; i < side.length; i++) {
                side[i] = random.nextBoolean();
            }
            split(side);
        }
        if (chance(0.4)) {
            heal();
        }
    }

    /** At most a minority of keepers has a disk that is not what it should be, until they have made up for it. */
    private void diskFault(KeeperBox k) {
        if (!mayBeBad(k)) {
            return;
        }
        int kind = random.nextInt(liars ? 9 : 8);
        if (kind == 7 && !k.joined) {
            kind = 6;
        }
        diskFaults++;
        tell(k.name + " fault of disk " + kind);
        switch (kind) {
            case 0 -> k.spoil(() -> k.disk.flipRandomBit());
            case 1 -> {
                k.disk.misdirectNextWrite = true;
                k.latent = true;
            }
            case 2 -> {
                k.disk.loseNextWrite = true;
                k.latent = true;
            }
            case 3 -> k.spoil(() -> k.disk.staleReadFile =
                    k.disk.fileNames().get(random.nextInt(k.disk.fileNames().size())));
            case 4 -> {
                k.disk.failure = random.nextBoolean() ? DiskException.Kind.FULL : DiskException.Kind.IO_ERROR;
                k.disk.failOnlyFsync = random.nextBoolean();
            }
            case 5 -> k.spoil(() -> k.disk.deleteRandomFile());
            case 6 -> k.restore();
            case 7 -> k.spoil(() -> k.disk.wipe());
            default -> k.disk.ignoreFsync = true; // until the power goes
        }
    }

    /** Counts one more with those that may have lost something, if there is room for it. */
    private boolean mayBeBad(KeeperBox k) {
        bad.removeIf(name -> keeper(name).isWell());
        boolean may = bad.contains(k.name) || bad.size() < (founders.voters().size() - 1) / 2;
        if (may) {
            bad.add(k.name);
        }
        return may;
    }

    private KeeperBox keeper(String name) {
        return keepers.get(Integer.parseInt(name.substring(1)));
    }

    // ---- Processes -----------------------------------------------------------------------------------

    /** A keeper with its disk. */
    private final class KeeperBox extends Process {
        private final String name;
        SimDisk disk;
        private SimDisk backup;
        private ReplicaStorage folder;
        private RaftNode keeper;
        private final Deque<Action.Persist> queue = new ArrayDeque<>();
        private long diskFreeAt;
        private long stalledUntil;
        private String boot;
        private final Map<String, Integer> askedLease = new HashMap<>();
        private final Map<Long, Integer> asked = new HashMap<>();
        private long tokens;
        private long looked;
        private boolean joined;
        /** Something on its disk is wrong that it will find only when it reads it. */
        private boolean latent;

        KeeperBox(String name, long seed) {
            super(DRIFT_PPM);
            this.name = name;
            this.disk = new SimDisk(seed * 31 + number);
            this.boot = "boot" + boots++;
            make(founders);
            begin();
        }

        private void make(Membership members) {
            try {
                ReplicaStorage.create(disk, owner(), folders++, members);
            } catch (DiskException | UnusableStorageException e) {
                throw new IllegalStateException(e);
            }
        }

        private ReplicaStorage.Owner owner() {
            return new ReplicaStorage.Owner("t", name, boot, liars);
        }

        boolean isWell() {
            return !dead
                    && !latent
                    && keeper != null
                    && keeper.isRecovered()
                    && disk.failure == null
                    && !disk.ignoreFsync
                    && disk.staleReadFile == null
                    && !disk.misdirectNextWrite
                    && !disk.loseNextWrite
                    && keeper.membership().voters().containsKey(name);
        }

        @Override
        public void crash(long until) {
            boolean power = random.nextInt(3) == 0 && (!liars || mayBeBad(this));
            if (!dead && !queue.isEmpty() && folder != null) { // in the middle of it
                disk.crashAfterOperations = random.nextInt(6);
                try {
                    while (!queue.isEmpty()) {
                        folder.persist(queue.poll());
                    }
                } catch (SimDisk.ProcessCrash | DiskException | IllegalStateException e) {
                    queue.clear();
                }
                disk.crashAfterOperations = -1;
            }
            if (power) {
                disk.powerCut();
                boot = "boot" + boots++;
            }
            queue.clear();
            asked.clear();
            askedLease.clear();
            tell(name + (power ? " loses power" : " is killed"));
            keeper = null;
            folder = null;
            super.crash(until);
        }

        /** Something happens to its disk while it is down. */
        void spoil(Runnable what) {
            crash(now + random.nextLong(1_500_000));
            what.run();
        }

        /** It comes back with a disk of some time ago. */
        void restore() {
            if (backup == null) {
                backup = disk.copy(random.nextLong());
                return;
            }
            crash(now + random.nextLong(1_500_000));
            disk = backup.copy(random.nextLong());
            disk.clearFaults();
            backup = null;
        }

        @Override
        protected void begin() {
            looked = 0;
            try {
                if (ReplicaStorage.isEmpty(disk)) {
                    disk.clearFaults();
                    make(new Membership(Map.of(), null));
                }
                folder = ReplicaStorage.open(disk, owner(), SEGMENT);
            } catch (UnusableStorageException e) { // the operator replaces it
                disk.wipe();
                disk.clearFaults();
                begin();
                return;
            } catch (DiskException e) {
                disk.clearFaults();
                crash(now + 500_000);
                return;
            }
            disk.staleReadFile = null;
            latent = disk.misdirectNextWrite || disk.loseNextWrite; // then it is still to come
            RaftNode.StoredState found = folder.recovered();
            if (faults.trustsDamage) {
                found = new RaftNode.StoredState(found.hardState(), found.snapshot(), found.entries(), null, false);
            } else if (faults.trustsReboots && !found.dataLost()) {
                found = new RaftNode.StoredState(found.hardState(), found.snapshot(), found.entries(), null, false);
            }
            tell(name + " begins: term " + found.hardState().term() + " last "
                    + (found.entries().isEmpty()
                            ? "-"
                            : found.entries().get(found.entries().size() - 1).index())
                    + " covered "
                    + (found.snapshot() == null ? 0 : found.snapshot().lastIncludedIndex()) + " doubt "
                    + found.suspectedLoss());
            doubts += found.suspectedLoss() != null ? 1 : 0;
            joined = joined || folder.founders().voters().isEmpty();
            keeper = new RaftNode(
                    new RaftNode.Identity(name, folder.storageId(), runs++),
                    rules,
                    found,
                    folder.founders(),
                    new ProtobufSnapshotCodec(),
                    random.split(),
                    clock());
            diskFreeAt = now;
        }

        @Override
        protected void handle(Object body) {
            if (keeper == null) {
                return;
            }
            if (body instanceof Wire w) {
                on(new Event.Received(w.from(), w.folder(), w.message()));
            } else if (body instanceof Ask a) {
                asked.put(++tokens, a.from());
                long theirs = a.token();
                answers.put(tokens, theirs);
                on(new Event.RequestReceived(tokens, a.request()));
            } else if (body instanceof Lease l) {
                askedLease.put(l.ask().balancer(), l.from());
                on(new Event.LeasesRequested(List.of(l.ask())));
            }
        }

        private final Map<Long, Long> answers = new HashMap<>();

        private void on(Event event) {
            if (keeper == null) {
                return;
            }
            List<Action> actions;
            try {
                actions = keeper.handle(event, clock());
            } catch (IllegalStateException e) {
                fail("%s: %s", name, e.getMessage());
                return;
            }
            for (Action a : actions) {
                if (a instanceof Action.Send s) {
                    ConsensusSimulation.this.send(
                            number, keeper(s.to()).number, new Wire(name, folder.storageId(), s.message()));
                } else if (a instanceof Action.Log say) {
                    tell(name + " says " + say.line());
                } else if (a instanceof Action.Persist p) {
                    queue.add(p);
                } else if (a instanceof Action.Respond w) {
                    Integer to = asked.remove(w.token());
                    Long theirs = answers.remove(w.token());
                    if (to != null) {
                        ConsensusSimulation.this.send(number, to, new Answer(theirs, w.result()));
                    }
                } else if (a instanceof Action.SendLease g) {
                    Integer to = askedLease.get(g.response().balancer());
                    if (to != null) {
                        ConsensusSimulation.this.send(
                                number,
                                to,
                                new Granted(
                                        g.response(),
                                        version(g.response().activeVersion()),
                                        version(g.response().pendingVersion())));
                    }
                }
            }
        }

        private ConfigVersion version(long numberOf) {
            if (keeper.active().number() == numberOf) {
                return keeper.active();
            }
            return keeper.pending() != null && keeper.pending().number() == numberOf
                    ? keeper.pending()
                    : keeper.history().stream()
                            .filter(v -> v.number() == numberOf)
                            .findFirst()
                            .orElse(null);
        }

        @Override
        protected void step() {
            if (now >= diskFreeAt && now >= stalledUntil && !queue.isEmpty()) {
                Action.Persist p = queue.poll();
                try {
                    folder.persist(p);
                } catch (DiskException | IllegalStateException e) { // it stops; somebody mends the disk
                    queue.clear();
                    crash(now + 300_000 + random.nextLong(2_000_000));
                    disk.clearFaults();
                    return;
                }
                diskFreeAt = now + random.nextLong(30_000);
                on(new Event.Persisted(p.token()));
            }
            on(new Event.Tick());
            look();
        }

        private void look() {
            if (keeper == null) {
                return;
            }
            if (keeper.role() == RaftNode.Role.LEADER) {
                String other = leaders.putIfAbsent(keeper.term(), name);
                if (other != null && !other.equals(name)) {
                    fail("%s and %s lead in term %d", name, other, keeper.term());
                }
            }
            for (long i = Math.max(looked, keeper.baseIndex()) + 1; i <= keeper.commitIndex(); i++) {
                LogEntry e = keeper.entry(i);
                LogEntry before = committed.putIfAbsent(i, e);
                if (before == null) {
                    commits++;
                } else if (!before.equals(e)) {
                    fail("%s: entry %d was %s, is %s", name, i, before, e);
                }
            }
            looked = keeper.commitIndex();
        }
    }

    /** A balancer. */
    private final class BalancerBox extends Process {
        private final String name;
        private ConfigSubscriber adherent;
        private int to;
        private long nextAsk;
        private long heardAt;
        private ConfigVersion last = ConfigVersion.NONE;

        BalancerBox(String name) {
            super(DRIFT_PPM);
            this.name = name;
            begin();
        }

        @Override
        protected void begin() {
            adherent = new ConfigSubscriber(name, runs++, rules, last);
            nextAsk = clock();
        }

        @Override
        protected void handle(Object body) {
            Granted g = (Granted) body;
            heardAt = clock();
            long before = adherent.active().number();
            if (adherent.handle(clock(), g.grant(), g.active(), g.pending())) {
                nextAsk = clock();
            }
            if (adherent.active().number() < before) {
                fail(
                        "%s went back from version %d to %d",
                        name, before, adherent.active().number());
            }
            last = adherent.active();
        }

        @Override
        protected void step() {
            if (clock() >= nextAsk) {
                nextAsk = clock() + 300_000;
                if (clock() - heardAt > 700_000) {
                    to = random.nextInt(keepers.size());
                }
                send(number, keepers.get(to).number, new Lease(number, adherent.leaseRequest(clock())));
            }
        }

        ConfigSubscriber.EffectiveConfig acting() {
            return adherent.effectiveConfig(clock());
        }
    }

    /** An operator, and whoever replaces keepers. */
    private final class Writer extends Process {
        private long next;
        private long token;
        private long known;
        private Op op;
        private long askedAt;
        private int done;

        Writer() {
            super(DRIFT_PPM);
        }

        @Override
        protected void begin() {
            op = null;
        }

        @Override
        protected void handle(Object body) {
            Answer a = (Answer) body;
            if (op == null || a.token() != token) {
                return;
            }
            known = Math.max(known, a.outcome().version());
            RequestResult.Kind kind = a.outcome().kind();
            if (kind == RequestResult.Kind.UNKNOWN
                    || kind == RequestResult.Kind.NO_LEADER
                    || kind == RequestResult.Kind.BUSY) {
                askedAt = 0; // again, with the same number
                return;
            }
            op.until = now;
            op.outcome = a.outcome();
            op = null;
            next = now + random.nextLong(500_000);
        }

        @Override
        protected void step() {
            if (op == null && now >= next) {
                op = new Op(draw(), now);
                history.add(op);
                token = number * 1_000_000L + ++done;
                askedAt = 0;
            }
            if (op != null && now - askedAt > 900_000) {
                askedAt = now;
                send(number, keepers.get(random.nextInt(keepers.size())).number, new Ask(number, token, op.request));
            }
        }

        private ClientRequest draw() {
            if (random.nextInt(3) == 0) {
                return new ClientRequest.Read();
            }
            for (KeeperBox k : keepers) {
                if (k.keeper == null || !k.joined) {
                    continue;
                }
                Member member = anyMember(k.name);
                if (member != null && member.storageId() != 0 && member.storageId() != k.folder.storageId()) {
                    return new ClientRequest.RemoveMember(k.name, member.storageId());
                } else if (member == null) {
                    return new ClientRequest.AddMember(new Member(k.name, k.folder.storageId(), k.name));
                }
            }
            Map<String, String> out = new TreeMap<>();
            for (int i = 0; i < 3; i++) {
                if (random.nextBoolean()) {
                    out.put("n" + i, "");
                }
            }
            ConfigDocument content = ConfigDocument.EMPTY
                    .with(ConfigSchema.UPSTREAMS_OUT, out)
                    .with(ConfigSchema.BALANCERS, 1 + random.nextInt(50))
                    .with(ConfigSchema.RETRIES, random.nextDouble());
            return new ClientRequest.Set(
                    new Command.Write("r" + number + "-" + done, known, "w" + number, "", now / 1_000, content));
        }

        private Member anyMember(String name) {
            for (KeeperBox k : keepers) {
                if (k.keeper != null && k.keeper.role() == RaftNode.Role.LEADER) {
                    Member m = k.keeper.membership().voters().get(name);
                    return m != null
                            ? m
                            : k.keeper.membership().learner() != null
                                            && k.keeper
                                                    .membership()
                                                    .learner()
                                                    .name()
                                                    .equals(name)
                                    ? k.keeper.membership().learner()
                                    : null;
                }
            }
            return new Member(name, 0, name); // nobody to ask
        }
    }

    // ---- Judgement -----------------------------------------------------------------------------------

    @Override
    protected void check() {
        long newestAlone = Long.MIN_VALUE;
        long oldestTold = Long.MAX_VALUE;
        for (BalancerBox b : balancers) {
            if (b.dead) {
                continue;
            }
            ConfigSubscriber.EffectiveConfig a = b.acting();
            if (a.mode() == ConfigSubscriber.Mode.LEASED) {
                leasedSteps++;
                newestAlone = Math.max(newestAlone, a.activeVersion());
                oldestTold = Math.min(oldestTold, Math.max(a.activeVersion(), a.pendingVersion()));
            } else {
                checkAlone(b.name, a.document());
            }
        }
        if (newestAlone > oldestTold) {
            fail("one acts on version %d, another knows nothing beyond %d", newestAlone, oldestTold);
        }
        for (BalancerBox b : balancers) {
            if (!b.dead && b.acting().mode() == ConfigSubscriber.Mode.LEASED) {
                checkBetween(b);
            }
        }
    }

    /** While a version is to take effect, whoever knows it breaks neither it nor the one before. */
    private void checkBetween(BalancerBox b) {
        ConfigVersion next = b.adherent.pending();
        if (next != null) {
            List<String> broken =
                    new ArrayList<>(ConfigSchema.contradictions(b.acting().document(), next.content()));
            broken.addAll(ConfigSchema.contradictions(
                    b.acting().document(), b.adherent.active().content()));
            if (!broken.isEmpty()) {
                fail(
                        "%s breaks %s between versions %d and %d",
                        b.name, broken, b.adherent.active().number(), next.number());
            }
        }
    }

    private void checkAlone(String name, ConfigDocument acting) {
        for (KeeperBox k : keepers) {
            if (k.keeper != null) {
                ConfigDocument inForce = k.keeper.active().content();
                if (acting.number(ConfigSchema.RETRIES) > inForce.number(ConfigSchema.RETRIES)
                        || acting.number(ConfigSchema.BALANCERS) < inForce.number(ConfigSchema.BALANCERS)) {
                    fail(
                            "%s is alone and looser than version %d",
                            name, k.keeper.active().number());
                }
            }
        }
    }

    private void checkLiveness() {
        KeeperBox leader = keepers.stream()
                .filter(k -> k.keeper != null && k.keeper.role() == RaftNode.Role.LEADER)
                .reduce((a, b) -> a.keeper.term() > b.keeper.term() ? a : b)
                .orElse(null);
        if (leader == null) {
            fail("nobody leads %d s after the last fault: %s", (END - FAULTS_END) / 1_000_000, states());
            return;
        }
        for (KeeperBox k : keepers) {
            if (leader.keeper.membership().voters().containsKey(k.name) && !k.keeper.isRecovered()) {
                fail("%s is still in doubt: %s; %s", k.name, k.keeper.suspectedLoss(), states());
            }
        }
        if (history.stream()
                .noneMatch(o -> o.from > FAULTS_END + 8_000_000
                        && o.outcome != null
                        && o.request instanceof ClientRequest.Set)) {
            fail("nothing was decided after the last fault: %s", states());
        }
        for (BalancerBox b : balancers) {
            if (b.acting().mode() != ConfigSubscriber.Mode.LEASED) {
                fail("%s has no lease long after the last fault: %s", b.name, states());
            }
        }
    }

    private String states() {
        StringBuilder text = new StringBuilder();
        keepers.forEach(k -> text.append(k.name)
                .append(
                        k.keeper == null
                                ? " down"
                                : " " + k.keeper.role() + " term "
                                        + k.keeper.term() + " commit " + k.keeper.commitIndex() + " last "
                                        + k.keeper.lastIndex()
                                        + " sound "
                                        + k.keeper.isRecovered() + " doubt " + k.keeper.suspectedLoss() + " leader "
                                        + k.keeper.leader() + " members "
                                        + k.keeper.membership() + " folder " + k.folder.storageId())
                .append("; "));
        return text.toString();
    }

    /** Whatever was answered is in the log of all, and answers come in the order in which they were given. */
    private void checkHistory() {
        long last = committed.isEmpty() ? 0 : committed.lastKey();
        for (long i = 1; i <= last; i++) {
            if (!committed.containsKey(i)) {
                fail("entry %d was never seen", i);
                return;
            }
        }
        Map<String, RequestResult> results = new LogPlayer().play(committed.values());
        List<Op> ended =
                new ArrayList<>(history.stream().filter(o -> o.outcome != null).toList());
        for (Op o : ended) {
            if (o.request instanceof ClientRequest.Set s && o.outcome.kind() == RequestResult.Kind.DONE) {
                RequestResult real = results.get(s.write().requestId());
                if (real == null || real.kind() != RequestResult.Kind.DONE || real.version() != o.outcome.version()) {
                    fail("%s was answered %s, is %s", s.write().requestId(), o.outcome, real);
                }
            } else if (o.request instanceof ClientRequest.Set s) {
                RequestResult real = results.get(s.write().requestId());
                if (real != null && real.kind() == RequestResult.Kind.DONE) {
                    fail("%s was answered %s and is done: %s", s.write().requestId(), o.outcome, real);
                }
            }
        }
        for (Op a : ended) {
            for (Op b : ended) {
                if (a.until < b.from && isRead(a) && isRead(b) && b.outcome.version() < a.outcome.version()) {
                    fail(
                            "version %d was answered at %d and %d to %s, which was asked after that at %d",
                            a.outcome.version(), a.until, b.outcome.version(), b.request, b.from);
                }
            }
        }
    }

    private static boolean isRead(Op o) {
        return o.outcome.version() > 0
                && (o.request instanceof ClientRequest.Read
                        || o.request instanceof ClientRequest.Set && o.outcome.kind() == RequestResult.Kind.DONE);
    }

    /** What a log makes of its writes, by a model of its own. */
    private static final class LogPlayer {
        Map<String, RequestResult> play(Iterable<LogEntry> log) {
            Map<String, RequestResult> results = new HashMap<>();
            long active = 0;
            boolean pending = false;
            for (LogEntry e : log) {
                if (e.command() instanceof Command.Activate a && pending && a.version() == active + 1) {
                    active++;
                    pending = false;
                } else if (e.command() instanceof Command.Write w && !results.containsKey(w.requestId())) {
                    boolean ok = !pending && w.parentVersion() == active;
                    results.put(
                            w.requestId(),
                            new RequestResult(
                                    ok ? RequestResult.Kind.DONE : RequestResult.Kind.CONFLICT,
                                    ok ? active + 1 : active,
                                    ""));
                    pending |= ok;
                }
            }
            return results;
        }
    }
}
