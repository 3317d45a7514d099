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
 * Simulates replicas with faulty disks, balancers that act on the config, and clients that write, on one thread and
 * by seed. Checks after every step that there is one leader for each term, that committed entries never change, that
 * no two balancers act on versions that exclude each other, that versions only grow, and that no balancer without a
 * lease is looser than any active version. Checks of the history that all results are true and that it is
 * linearizable.
 *
 * <p>The processes are inner classes of the simulated network, so that this file is longer than others.
 */
final class ConsensusSimulation extends SeededNetwork {
    static final int DRIFT_PPM = 2_000;
    private static final int SEGMENT_BYTES = 2_048;
    private static final long FAULTS_END_MICROS = 25_000_000;
    private static final long END_MICROS = 50_000_000;
    private static final int BALANCERS = 4;
    private static final int WRITERS = 2;
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(DRIFT_PPM), 24);

    /** The faults of the implementation that a run simulates. */
    static class Faults {
        Function<RaftTiming, SafetyRules> rules = SafetyRules::new;
        /** Whether a replica does not notice that its disk has lost data. */
        boolean ignoresCorruption;
        /** Whether a replica trusts its disk after a crash of the machine. */
        boolean ignoresCrashes;
    }

    private final Faults faults;
    private final SafetyRules rules;
    private final List<SimulatedReplica> replicas = new ArrayList<>();
    private final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private final Membership initialMembership;
    private final boolean diskLosesWrites;
    private final Map<Long, String> leaders = new HashMap<>();
    /** All entries that any replica has ever had as committed. */
    final TreeMap<Long, LogEntry> committed = new TreeMap<>();

    private final Set<String> faultyReplicas = new HashSet<>();
    private long nextBoot = 1;
    private long nextStorageId = 100;
    private long nextIncarnation = 1;
    final List<ClientOperation> history = new ArrayList<>();
    /** Whether to print a trace. */
    boolean trace;

    int commits;
    int crashes;
    int diskFaults;
    int recoveries;
    long leasedSteps;

    private record ReplicaMessage(String from, long storageId, RaftMessage message) {}

    private record RequestMessage(int from, long token, ClientRequest request) {}

    private record ResultMessage(long token, RequestResult result) {}

    private record LeaseRequestMessage(int from, LeaseRequest request) {}

    private record LeaseResponseMessage(LeaseResponse response, ConfigVersion active, ConfigVersion pending) {}

    ConsensusSimulation(long seed, Faults faults) {
        super(seed);
        this.faults = faults;
        this.rules = faults.rules.apply(TIMING);
        this.diskLosesWrites = seed % 2 == 0;
        int size = random.nextInt(3) == 0 ? 5 : 3;
        List<Member> first = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            first.add(new Member("k" + i, 0, "k" + i));
        }
        initialMembership = Membership.of(first);
        for (int i = 0; i < size; i++) {
            replicas.add(new SimulatedReplica("k" + i, seed));
        }
        for (int i = 0; i < BALANCERS; i++) {
            balancers.add(new SimulatedBalancer("b" + i));
        }
        for (int i = 0; i < WRITERS; i++) {
            clients.add(new SimulatedClient());
        }
    }

    /** Runs the simulation; returns the first violation, or null. */
    String run() {
        runUntil(FAULTS_END_MICROS);
        if (violation == null) {
            stopFaults();
            replicas.forEach(replica -> replica.disk.clearFaults());
            runUntil(END_MICROS);
        }
        if (violation == null) {
            checkLiveness();
        }
        if (violation == null) {
            checkHistory();
        }
        return violation;
    }

    private void log(String line) {
        if (trace) {
            System.out.printf("%7.2f s %s%n", now / 1e6, line);
        }
    }

    private void fail(String format, Object... what) {
        if (violation == null) {
            violation = String.format("at %.2f s: ", now / 1e6) + String.format(format, what);
        }
    }

    // ---- Faults ----------------------------------------------------------------------------------

    @Override
    protected void injectFaults() {
        for (SimulatedReplica replica : replicas) {
            if (happens(severity * 0.15)) {
                replica.crash(now + random.nextLong(random.nextBoolean() ? 200_000 : 3_000_000));
                crashes++;
            } else if (happens(severity * 0.05)) {
                replica.pausedUntil = now + (random.nextInt(4) == 0 ? 6_000_000 : random.nextLong(1_500_000));
            } else if (happens(severity * 0.08)) {
                replica.stalledUntil = now + random.nextLong(3_000_000);
            } else if (happens(severity * 0.12)) {
                injectDiskFault(replica);
            }
        }
        for (SimulatedBalancer balancer : balancers) {
            if (happens(severity * 0.08)) {
                balancer.crash(now + random.nextLong(1_000_000));
            } else if (happens(severity * 0.08)) {
                balancer.pausedUntil = now + random.nextLong(4_000_000);
            }
        }
        if (happens(severity * 0.8)) {
            toggleLink(random.nextInt(processes()), random.nextInt(processes()));
        }
        if (happens(severity * 0.15)) {
            boolean[] side = new boolean[processes()];
            for (int i = 0; i < side.length; i++) {
                side[i] = random.nextBoolean();
            }
            partition(side);
        }
        if (happens(0.4)) {
            heal();
        }
    }

    /** The faults of a disk, in the order of their random draw. */
    private enum DiskFault {
        FLIP_BIT,
        MISDIRECT_WRITE,
        LOSE_WRITE,
        STALE_READ,
        FAIL_WRITES,
        DELETE_FILE,
        RESTORE_BACKUP,
        WIPE,
        /** Writes that were reported as synced are lost with the next power loss. */
        IGNORE_FSYNC
    }

    private DiskFault randomDiskFault(SimulatedReplica replica) {
        int kinds = DiskFault.values().length;
        DiskFault fault = DiskFault.values()[random.nextInt(diskLosesWrites ? kinds : kinds - 1)];
        return fault == DiskFault.WIPE && !replica.mayJoin ? DiskFault.RESTORE_BACKUP : fault;
    }

    /** Injects a disk fault, unless a minority of the replicas has one that it has not recovered from. */
    private void injectDiskFault(SimulatedReplica replica) {
        if (!mayFault(replica)) {
            return;
        }
        DiskFault fault = randomDiskFault(replica);
        diskFaults++;
        log(replica.name + " disk fault " + fault);
        SimDisk disk = replica.disk;
        switch (fault) {
            case FLIP_BIT -> replica.faultWhileDown(() -> replica.disk.flipRandomBit());
            case MISDIRECT_WRITE -> {
                disk.misdirectNextWrite = true;
                replica.hasLatentFault = true;
            }
            case LOSE_WRITE -> {
                disk.loseNextWrite = true;
                replica.hasLatentFault = true;
            }
            case STALE_READ -> replica.faultWhileDown(() -> replica.disk.staleReadFile = randomFile(replica.disk));
            case FAIL_WRITES -> {
                disk.failure = random.nextBoolean() ? DiskException.Kind.FULL : DiskException.Kind.IO_ERROR;
                disk.failOnlyFsync = random.nextBoolean();
            }
            case DELETE_FILE -> replica.faultWhileDown(() -> replica.disk.deleteRandomFile());
            case RESTORE_BACKUP -> replica.restoreBackup();
            case WIPE -> replica.faultWhileDown(() -> replica.disk.wipe());
            case IGNORE_FSYNC -> disk.ignoreFsync = true;
            default -> throw new AssertionError(fault);
        }
    }

    private String randomFile(SimDisk disk) {
        return disk.fileNames().get(random.nextInt(disk.fileNames().size()));
    }

    /** Whether one more replica may lose data; then it is counted with those that may have. */
    private boolean mayFault(SimulatedReplica replica) {
        faultyReplicas.removeIf(name -> replica(name).isHealthy());
        boolean allowed = faultyReplicas.contains(replica.name)
                || faultyReplicas.size() < (initialMembership.voters().size() - 1) / 2;
        if (allowed) {
            faultyReplicas.add(replica.name);
        }
        return allowed;
    }

    private SimulatedReplica replica(String name) {
        return replicas.get(Integer.parseInt(name.substring(1)));
    }

    // ---- Processes -----------------------------------------------------------------------------------

    /** A replica with its disk. */
    private final class SimulatedReplica extends NetworkProcess {
        private final String name;
        SimDisk disk;
        private SimDisk backup;
        private ReplicaStorage storage;
        private RaftNode node;
        private final Deque<Action.Persist> pendingWrites = new ArrayDeque<>();
        private long diskFreeAt;
        private long stalledUntil;
        private String bootId;
        private final Map<String, Integer> leaseOrigins = new HashMap<>();
        private final Map<Long, Integer> requestOrigins = new HashMap<>();
        private long lastToken;
        private long checkedIndex;
        private boolean mayJoin;
        /** Whether its disk has a fault that shows only on a later read. */
        private boolean hasLatentFault;

        SimulatedReplica(String name, long seed) {
            super(DRIFT_PPM);
            this.name = name;
            this.disk = new SimDisk(seed * 31 + number);
            this.bootId = "boot" + nextBoot++;
            createStorage(initialMembership);
            start();
        }

        private void createStorage(Membership members) {
            try {
                ReplicaStorage.create(disk, owner(), nextStorageId++, members);
            } catch (DiskException | UnusableStorageException exception) {
                throw new IllegalStateException(exception);
            }
        }

        private ReplicaStorage.Owner owner() {
            return new ReplicaStorage.Owner("t", name, bootId, diskLosesWrites);
        }

        boolean isHealthy() {
            return !crashed
                    && !hasLatentFault
                    && node != null
                    && node.isRecovered()
                    && disk.failure == null
                    && !disk.ignoreFsync
                    && disk.staleReadFile == null
                    && !disk.misdirectNextWrite
                    && !disk.loseNextWrite
                    && node.membership().voters().containsKey(name);
        }

        @Override
        public void crash(long until) {
            boolean powerLoss = random.nextInt(3) == 0 && (!diskLosesWrites || mayFault(this));
            if (!crashed && !pendingWrites.isEmpty() && storage != null) { // the crash interrupts the writes
                disk.crashAfterOperations = random.nextInt(6);
                try {
                    while (!pendingWrites.isEmpty()) {
                        storage.persist(pendingWrites.poll());
                    }
                } catch (SimDisk.ProcessCrash | DiskException | IllegalStateException exception) {
                    pendingWrites.clear();
                }
                disk.crashAfterOperations = -1;
            }
            if (powerLoss) {
                disk.powerCut();
                bootId = "boot" + nextBoot++;
            }
            pendingWrites.clear();
            requestOrigins.clear();
            leaseOrigins.clear();
            log(name + (powerLoss ? " loses power" : " is killed"));
            node = null;
            storage = null;
            super.crash(until);
        }

        /** Crashes and has its disk changed while it is down. */
        void faultWhileDown(Runnable fault) {
            crash(now + random.nextLong(1_500_000));
            fault.run();
        }

        /** Crashes and restarts from an earlier copy of its disk; the first call makes the copy. */
        void restoreBackup() {
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
        protected void start() {
            checkedIndex = 0;
            try {
                if (ReplicaStorage.isEmpty(disk)) {
                    disk.clearFaults();
                    createStorage(new Membership(Map.of(), null));
                }
                storage = ReplicaStorage.open(disk, owner(), SEGMENT_BYTES);
            } catch (UnusableStorageException exception) { // the operator replaces the disk
                disk.wipe();
                disk.clearFaults();
                start();
                return;
            } catch (DiskException exception) {
                disk.clearFaults();
                crash(now + 500_000);
                return;
            }
            disk.staleReadFile = null;
            hasLatentFault = disk.misdirectNextWrite || disk.loseNextWrite; // then the fault is still to come
            RaftNode.StoredState stored = storage.recovered();
            if (faults.ignoresCorruption) {
                stored = new RaftNode.StoredState(stored.hardState(), stored.snapshot(), stored.entries(), null, false);
            } else if (faults.ignoresCrashes && !stored.dataLost()) {
                stored = new RaftNode.StoredState(stored.hardState(), stored.snapshot(), stored.entries(), null, false);
            }
            log(name + " starts: term " + stored.hardState().term() + " last "
                    + (stored.entries().isEmpty()
                            ? "-"
                            : stored.entries().get(stored.entries().size() - 1).index())
                    + " snapshot "
                    + (stored.snapshot() == null ? 0 : stored.snapshot().lastIncludedIndex()) + " suspected loss "
                    + stored.suspectedLoss());
            recoveries += stored.suspectedLoss() != null ? 1 : 0;
            mayJoin = mayJoin || storage.founders().voters().isEmpty();
            node = new RaftNode(
                    new RaftNode.Identity(name, storage.storageId(), nextIncarnation++),
                    rules,
                    stored,
                    storage.founders(),
                    new ProtobufSnapshotCodec(),
                    random.split(),
                    clock());
            diskFreeAt = now;
        }

        @Override
        protected void handle(Object body) {
            if (node == null) {
                return;
            }
            if (body instanceof ReplicaMessage message) {
                handleEvent(new Event.Received(message.from(), message.storageId(), message.message()));
            } else if (body instanceof RequestMessage request) {
                requestOrigins.put(++lastToken, request.from());
                long clientToken = request.token();
                clientTokens.put(lastToken, clientToken);
                handleEvent(new Event.RequestReceived(lastToken, request.request()));
            } else if (body instanceof LeaseRequestMessage lease) {
                leaseOrigins.put(lease.request().balancer(), lease.from());
                handleEvent(new Event.LeasesRequested(List.of(lease.request())));
            }
        }

        private final Map<Long, Long> clientTokens = new HashMap<>();

        private void handleEvent(Event event) {
            if (node == null) {
                return;
            }
            List<Action> actions;
            try {
                actions = node.handle(event, clock());
            } catch (IllegalStateException exception) {
                fail("%s: %s", name, exception.getMessage());
                return;
            }
            for (Action action : actions) {
                if (action instanceof Action.Send send) {
                    ConsensusSimulation.this.send(
                            number,
                            replica(send.to()).number,
                            new ReplicaMessage(name, storage.storageId(), send.message()));
                } else if (action instanceof Action.Log line) {
                    log(name + " logs: " + line.line());
                } else if (action instanceof Action.Persist persist) {
                    pendingWrites.add(persist);
                } else if (action instanceof Action.Respond respond) {
                    Integer receiver = requestOrigins.remove(respond.token());
                    Long clientToken = clientTokens.remove(respond.token());
                    if (receiver != null) {
                        ConsensusSimulation.this.send(
                                number, receiver, new ResultMessage(clientToken, respond.result()));
                    }
                } else if (action instanceof Action.SendLease lease) {
                    Integer receiver = leaseOrigins.get(lease.response().balancer());
                    if (receiver != null) {
                        ConsensusSimulation.this.send(
                                number,
                                receiver,
                                new LeaseResponseMessage(
                                        lease.response(),
                                        version(lease.response().activeVersion()),
                                        version(lease.response().pendingVersion())));
                    }
                }
            }
        }

        private ConfigVersion version(long wanted) {
            if (node.active().number() == wanted) {
                return node.active();
            }
            return node.pending() != null && node.pending().number() == wanted
                    ? node.pending()
                    : node.history().stream()
                            .filter(v -> v.number() == wanted)
                            .findFirst()
                            .orElse(null);
        }

        @Override
        protected void step() {
            if (now >= diskFreeAt && now >= stalledUntil && !pendingWrites.isEmpty()) {
                Action.Persist persist = pendingWrites.poll();
                try {
                    storage.persist(persist);
                } catch (DiskException
                        | IllegalStateException exception) { // the process ends; the operator repairs the disk
                    pendingWrites.clear();
                    crash(now + 300_000 + random.nextLong(2_000_000));
                    disk.clearFaults();
                    return;
                }
                diskFreeAt = now + random.nextLong(30_000);
                handleEvent(new Event.Persisted(persist.token()));
            }
            handleEvent(new Event.Tick());
            checkNode();
        }

        private void checkNode() {
            if (node == null) {
                return;
            }
            if (node.role() == RaftNode.Role.LEADER) {
                String other = leaders.putIfAbsent(node.term(), name);
                if (other != null && !other.equals(name)) {
                    fail("%s and %s lead in term %d", name, other, node.term());
                }
            }
            for (long index = Math.max(checkedIndex, node.baseIndex()) + 1; index <= node.commitIndex(); index++) {
                LogEntry entry = node.entry(index);
                LogEntry before = committed.putIfAbsent(index, entry);
                if (before == null) {
                    commits++;
                } else if (!before.equals(entry)) {
                    fail("%s: entry %d was %s, is %s", name, index, before, entry);
                }
            }
            checkedIndex = node.commitIndex();
        }
    }

    /** A balancer that subscribes to the config. */
    private final class SimulatedBalancer extends NetworkProcess {
        private final String name;
        private ConfigSubscriber subscriber;
        private int connectedTo;
        private long nextRequestAt;
        private long lastResponseAt;
        private ConfigVersion lastActive = ConfigVersion.NONE;

        SimulatedBalancer(String name) {
            super(DRIFT_PPM);
            this.name = name;
            start();
        }

        @Override
        protected void start() {
            subscriber = new ConfigSubscriber(name, nextIncarnation++, rules, lastActive);
            nextRequestAt = clock();
        }

        @Override
        protected void handle(Object body) {
            LeaseResponseMessage message = (LeaseResponseMessage) body;
            lastResponseAt = clock();
            long before = subscriber.active().number();
            if (subscriber.handle(clock(), message.response(), message.active(), message.pending())) {
                nextRequestAt = clock();
            }
            if (subscriber.active().number() < before) {
                fail(
                        "%s went back from version %d to %d",
                        name, before, subscriber.active().number());
            }
            lastActive = subscriber.active();
        }

        @Override
        protected void step() {
            if (clock() >= nextRequestAt) {
                nextRequestAt = clock() + 300_000;
                if (clock() - lastResponseAt > 700_000) {
                    connectedTo = random.nextInt(replicas.size());
                }
                send(
                        number,
                        replicas.get(connectedTo).number,
                        new LeaseRequestMessage(number, subscriber.leaseRequest(clock())));
            }
        }

        ConfigSubscriber.EffectiveConfig effectiveConfig() {
            return subscriber.effectiveConfig(clock());
        }
    }

    /** A client that reads and writes the config, and replaces members that have lost their storage. */
    private final class SimulatedClient extends NetworkProcess {
        private long nextStartAt;
        private long token;
        private long knownVersion;
        private ClientOperation operation;
        private long sentAt;
        private int operationCount;

        SimulatedClient() {
            super(DRIFT_PPM);
        }

        @Override
        protected void start() {
            operation = null;
        }

        @Override
        protected void handle(Object body) {
            ResultMessage message = (ResultMessage) body;
            if (operation == null || message.token() != token) {
                return;
            }
            knownVersion = Math.max(knownVersion, message.result().version());
            RequestResult.Kind kind = message.result().kind();
            if (kind == RequestResult.Kind.UNKNOWN
                    || kind == RequestResult.Kind.NO_LEADER
                    || kind == RequestResult.Kind.BUSY) {
                sentAt = 0; // retries with the same request id
                return;
            }
            operation.endedAt = now;
            operation.result = message.result();
            operation = null;
            nextStartAt = now + random.nextLong(500_000);
        }

        @Override
        protected void step() {
            if (operation == null && now >= nextStartAt) {
                operation = new ClientOperation(randomRequest(), now);
                history.add(operation);
                token = number * 1_000_000L + ++operationCount;
                sentAt = 0;
            }
            if (operation != null && now - sentAt > 900_000) {
                sentAt = now;
                send(
                        number,
                        replicas.get(random.nextInt(replicas.size())).number,
                        new RequestMessage(number, token, operation.request));
            }
        }

        private ClientRequest randomRequest() {
            if (random.nextInt(3) == 0) {
                return new ClientRequest.Read();
            }
            for (SimulatedReplica replica : replicas) {
                if (replica.node == null || !replica.mayJoin) {
                    continue;
                }
                Member member = memberAtLeader(replica.name);
                if (member != null && member.storageId() != 0 && member.storageId() != replica.storage.storageId()) {
                    return new ClientRequest.RemoveMember(replica.name, member.storageId());
                } else if (member == null) {
                    return new ClientRequest.AddMember(
                            new Member(replica.name, replica.storage.storageId(), replica.name));
                }
            }
            Map<String, String> disabled = new TreeMap<>();
            for (int i = 0; i < 3; i++) {
                if (random.nextBoolean()) {
                    disabled.put("n" + i, "");
                }
            }
            ConfigDocument content = ConfigDocument.EMPTY
                    .with(ConfigSchema.DISABLED_UPSTREAMS, disabled)
                    .with(ConfigSchema.BALANCERS, 1 + random.nextInt(50))
                    .with(ConfigSchema.RETRY_RATIO, random.nextDouble());
            return new ClientRequest.Set(new Command.Write(
                    "r" + number + "-" + operationCount, knownVersion, "w" + number, "", now / 1_000, content));
        }

        private Member memberAtLeader(String name) {
            for (SimulatedReplica replica : replicas) {
                if (replica.node != null && replica.node.role() == RaftNode.Role.LEADER) {
                    return replica.node.membership().member(name);
                }
            }
            return new Member(name, 0, name); // no leader to consult
        }
    }

    // ---- Invariants -----------------------------------------------------------------------------------

    @Override
    protected void check() {
        long newestActive = Long.MIN_VALUE;
        long oldestKnown = Long.MAX_VALUE;
        for (SimulatedBalancer balancer : balancers) {
            if (balancer.crashed) {
                continue;
            }
            ConfigSubscriber.EffectiveConfig config = balancer.effectiveConfig();
            if (config.mode() == ConfigSubscriber.Mode.LEASED) {
                leasedSteps++;
                newestActive = Math.max(newestActive, config.activeVersion());
                oldestKnown = Math.min(oldestKnown, Math.max(config.activeVersion(), config.pendingVersion()));
            } else {
                checkWithoutLease(balancer.name, config.document());
            }
        }
        if (newestActive > oldestKnown) {
            fail("one balancer acts on version %d, another knows none after %d", newestActive, oldestKnown);
        }
        for (SimulatedBalancer balancer : balancers) {
            if (!balancer.crashed && balancer.effectiveConfig().mode() == ConfigSubscriber.Mode.LEASED) {
                checkDuringActivation(balancer);
            }
        }
    }

    /** While a version is pending, a balancer that knows it contradicts neither that nor the active one. */
    private void checkDuringActivation(SimulatedBalancer balancer) {
        ConfigVersion next = balancer.subscriber.pending();
        if (next != null) {
            List<String> contradicted = new ArrayList<>(
                    ConfigSchema.contradictions(balancer.effectiveConfig().document(), next.content()));
            contradicted.addAll(ConfigSchema.contradictions(
                    balancer.effectiveConfig().document(),
                    balancer.subscriber.active().content()));
            if (!contradicted.isEmpty()) {
                fail(
                        "%s contradicts %s between versions %d and %d",
                        balancer.name,
                        contradicted,
                        balancer.subscriber.active().number(),
                        next.number());
            }
        }
    }

    private void checkWithoutLease(String name, ConfigDocument effective) {
        for (SimulatedReplica replica : replicas) {
            if (replica.node != null) {
                ConfigDocument inForce = replica.node.active().content();
                if (effective.number(ConfigSchema.RETRY_RATIO) > inForce.number(ConfigSchema.RETRY_RATIO)
                        || effective.number(ConfigSchema.BALANCERS) < inForce.number(ConfigSchema.BALANCERS)) {
                    fail(
                            "%s has no lease and is looser than version %d",
                            name, replica.node.active().number());
                }
            }
        }
    }

    private void checkLiveness() {
        SimulatedReplica leader = replicas.stream()
                .filter(replica -> replica.node != null && replica.node.role() == RaftNode.Role.LEADER)
                .reduce((a, balancer) -> a.node.term() > balancer.node.term() ? a : balancer)
                .orElse(null);
        if (leader == null) {
            fail("no leader %d s after the last fault: %s", (END_MICROS - FAULTS_END_MICROS) / 1_000_000, states());
            return;
        }
        for (SimulatedReplica replica : replicas) {
            if (leader.node.membership().voters().containsKey(replica.name) && !replica.node.isRecovered()) {
                fail("%s has not recovered: %s; %s", replica.name, replica.node.suspectedLoss(), states());
            }
        }
        if (history.stream()
                .noneMatch(operation -> operation.startedAt > FAULTS_END_MICROS + 8_000_000
                        && operation.result != null
                        && operation.request instanceof ClientRequest.Set)) {
            fail("nothing was committed after the last fault: %s", states());
        }
        for (SimulatedBalancer balancer : balancers) {
            if (balancer.effectiveConfig().mode() != ConfigSubscriber.Mode.LEASED) {
                fail("%s has no lease long after the last fault: %s", balancer.name, states());
            }
        }
    }

    private String states() {
        StringBuilder text = new StringBuilder();
        replicas.forEach(replica -> text.append(replica.name)
                .append(
                        replica.node == null
                                ? " down"
                                : " " + replica.node.role() + " term "
                                        + replica.node.term() + " commit " + replica.node.commitIndex() + " last "
                                        + replica.node.lastIndex()
                                        + " recovered "
                                        + replica.node.isRecovered() + " suspected loss " + replica.node.suspectedLoss()
                                        + " leader "
                                        + replica.node.leader() + " members "
                                        + replica.node.membership() + " storage " + replica.storage.storageId())
                .append("; "));
        return text.toString();
    }

    private void checkHistory() {
        String found = new ClientHistoryChecker(committed).check(history);
        if (found != null) {
            fail("%s", found);
        }
    }
}
