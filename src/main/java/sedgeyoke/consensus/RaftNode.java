package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One keeper: elections with a vote before the vote, a log that a leader replicates, snapshots, reads that are never
 * stale, keepers that come and go, leases (after the Raft dissertation, chapters 3, 4, 6 and 9; PreVote and CheckQuorum
 * as there). What it promises to others goes out only once it is on disk; what it does not know whether it promised, it
 * learns from them first ({@link ReplicaRecovery}).
 *
 * <p>Events go in one after the other, with the time of a clock that only grows; actions come out, to be carried out in
 * order. All methods are for one thread.
 */
public final class RaftNode {
    private static final int MOST_ENTRIES = 64;
    private static final int PIECE = 32 * 1024;
    /** Requests that wait for a leader's answer; further ones are told to come back. */
    private static final int MOST_WAITING = 1_000;

    private static final long TELL_EVERY = 30_000_000;
    private static final long FORWARD_TIME = 3_000_000;

    private final String name;
    private final long folder;
    private final RaftTiming timing;
    private final SafetyRules rules;
    private final SplittableRandom random;
    private final SnapshotCodec codec;
    private final RaftLog log;
    private final ConfigStateMachine registry;
    private final ReplicaRecovery standing;
    private final List<Long> runs;
    private final Map<String, HardState.KnownPeer> known;
    /** The newest term that each has spoken in, as it had it on disk then. */
    private final Map<String, Long> heardTerms = new HashMap<>();

    private Snapshot snapshot;
    private Membership membership;

    private Role role = Role.FOLLOWER;
    private long term;
    private String vote;
    private String leader;
    private long commitIndex;
    private long applied;
    private long now;
    private long electionDue;
    private long heardOfLeader;
    /** How far the log is the present leader's; -1 while that is not known. */
    private long matched = -1;

    private long toldAt;
    private long introducedAt;

    // what a candidate and a leader have
    private final Map<String, Boolean> votes = new HashMap<>();
    private long stoodAt;
    private boolean handedOver;
    private final Map<String, ReplicationProgress> peers = new TreeMap<>();
    private LeaseTable leases;
    private long round;
    private long confirmed;
    private long roundAt;
    private long firstOfTerm;
    private byte[] pieces;
    private long piecesOf = -1;

    // what waits
    private final Map<Long, Waiting> proposed = new TreeMap<>();
    private final List<Confirming> confirming = new ArrayList<>();
    /** What was passed on to a leader, and until when its answer is waited for. */
    private final Map<Long, Long> forwarded = new TreeMap<>();

    private final List<RaftMessage.LeaseResponses> early = new ArrayList<>();
    private RaftMessage.InstallSnapshotChunk incoming;
    private byte[] assembled;

    // what goes to disk
    private final Storing storing = new Storing();
    private List<Action> out = new ArrayList<>();

    /** What a keeper is at. */
    public enum Role {
        /** It follows, or waits for a leader. */
        FOLLOWER,
        /** It asks whether it could win. */
        PRE_CANDIDATE,
        /** It stands. */
        CANDIDATE,
        /** It leads. */
        LEADER
    }

    /** What a folder says of the keeper that has it. */
    public record StoredState(
            HardState hardState, Snapshot snapshot, List<LogEntry> entries, String suspectedLoss, boolean dataLost) {}

    /** Who it is. */
    public record Identity(String name, long storageId, long incarnation) {}

    /** Somebody waits for an entry: {@code from} is a keeper that passed it on, or null for one who asked here. */
    private record Waiting(long term, String from, long token) {}

    /** Something that is done once a round has shown that we still lead. */
    private record Confirming(long round, Runnable then, Runnable otherwise) {}

    /** What is to be made to last, and what may be said only then. */
    private final class Storing {
        private final List<Action.Send> promises = new ArrayList<>();
        private final TreeMap<Long, List<Action.Send>> held = new TreeMap<>();
        /** When each was begun, and up to where the log is on disk once it is done. */
        private final TreeMap<Long, long[]> open = new TreeMap<>();

        private final List<LogEntry> appended = new ArrayList<>();
        private boolean slot;
        /** The entry behind which the log on disk is to begin anew; -1 if it goes on. */
        private long restart = -1;

        private Snapshot snapshot;
        private long keep = -1;
        private long tokens;
        private long slotToken;
        /** The entry up to which the log is on disk. */
        private long durable;

        void done(long token) {
            while (!open.isEmpty() && open.firstKey() <= token) {
                durable = open.pollFirstEntry().getValue()[1];
            }
            while (!held.isEmpty() && held.firstKey() <= token) {
                out.addAll(held.pollFirstEntry().getValue());
            }
        }

        boolean votesAreKept() {
            return !slot && (open.isEmpty() || open.firstKey() > slotToken);
        }

        boolean stalled() {
            return !open.isEmpty() && now - open.firstEntry().getValue()[0] > timing.electionTimeoutMicros();
        }

        void cut(long behind) {
            keep = keep < 0 ? behind : Math.min(keep, behind);
            durable = Math.min(durable, behind);
            open.values().forEach(o -> o[1] = Math.min(o[1], behind));
            appended.removeIf(e -> e.index() > behind);
        }

        /** The log on disk is to begin anew behind an entry, with all that this one has. */
        void restart(long behind) {
            restart = behind;
            keep = -1;
            appended.clear();
            appended.addAll(log.entriesFrom(behind + 1, Integer.MAX_VALUE));
        }

        void flush() {
            if (slot || restart >= 0 || snapshot != null || keep >= 0 || !appended.isEmpty()) {
                tokens++;
                out.add(new Action.Persist(
                        tokens,
                        slot
                                ? new HardState(
                                        term, vote, List.copyOf(runs), new TreeMap<>(known), standing.doubt() == null)
                                : null,
                        snapshot,
                        restart,
                        keep,
                        List.copyOf(appended)));
                open.put(tokens, new long[] {now, log.lastIndex()});
                slotToken = slot ? tokens : slotToken;
                slot = false;
                restart = -1;
                snapshot = null;
                keep = -1;
                appended.clear();
            }
            if (!promises.isEmpty()) {
                if (open.isEmpty() || !rules.responsesWaitForPersistence()) {
                    out.addAll(promises);
                } else {
                    held.computeIfAbsent(open.lastKey(), t -> new ArrayList<>()).addAll(promises);
                }
                promises.clear();
            }
        }
    }

    /**
     * A keeper as its folder has it.
     *
     * @param members as the tier was founded; with no voters for one that is to join
     */
    public RaftNode(
            Identity self,
            SafetyRules rules,
            StoredState found,
            Membership members,
            SnapshotCodec codec,
            SplittableRandom random,
            long now) {
        this.name = self.name();
        this.folder = self.storageId();
        this.rules = rules;
        this.timing = rules.timing();
        this.codec = codec;
        this.random = random;
        this.now = now;
        this.term = found.hardState().term();
        this.vote = found.hardState().votedFor();
        this.known = new HashMap<>(found.hardState().knownPeers());
        this.runs = new ArrayList<>(found.hardState().incarnations());
        runs.add(0, self.incarnation());
        runs.subList(Math.min(HardState.MAX_INCARNATIONS, runs.size()), runs.size())
                .clear();
        this.snapshot = found.snapshot();
        long covered = snapshot == null ? 0 : snapshot.lastIncludedIndex();
        this.log = new RaftLog(covered, snapshot == null ? 0 : snapshot.lastIncludedTerm(), found.entries());
        this.registry = snapshot == null
                ? new ConfigStateMachine(members, rules)
                : new ConfigStateMachine(snapshot.state(), rules);
        this.commitIndex = covered;
        this.applied = covered;
        this.standing = new ReplicaRecovery(rules, self.incarnation(), found.suspectedLoss(), found.dataLost(), now);
        storing.durable = log.lastIndex();
        storing.slot = true; // the new run: others must not hear of it before the disk knows
        takeMembers();
        restElection();
        heardOfLeader = now - timing.electionTimeoutMicros();
    }

    // ---- What others may ask -------------------------------------------------------------------------

    /** What it is at. */
    public Role role() {
        return role;
    }

    /** The newest term that it knows. */
    public long term() {
        return term;
    }

    /** Who leads as far as it knows; null if nobody. */
    public String leader() {
        return leader;
    }

    /** Up to where the log is committed as far as it knows. */
    public long commitIndex() {
        return commitIndex;
    }

    /** The last entry that it has. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** The entry before the first that it has. */
    public long baseIndex() {
        return log.baseIndex();
    }

    /** An entry that it has. */
    public LogEntry entry(long index) {
        return log.get(index);
    }

    /** The version in force. */
    public ConfigVersion active() {
        return registry.active();
    }

    /** The version that is to take effect, or null. */
    public ConfigVersion pending() {
        return registry.pending();
    }

    /** Versions before, oldest first. */
    public List<ConfigVersion> history() {
        return registry.history();
    }

    /** The keepers, by the newest set in the log. */
    public Membership membership() {
        return membership;
    }

    /** Whether it may vote and be counted. */
    public boolean isRecovered() {
        return standing.sound();
    }

    /** Why it may have lost what it promised; null if it has not. */
    public String suspectedLoss() {
        return standing.doubt();
    }

    /** How many balancers hold a lease, as far as a leader knows; 0 elsewhere. */
    public int leaseHolders() {
        return leases == null ? 0 : leases.holderCount(now);
    }

    /** All that it is, but for times, in words that are the same for equal ones: for checkers of its states. */
    public String describe() {
        StringBuilder text = new StringBuilder(256)
                .append(role)
                .append(' ')
                .append(term)
                .append(' ')
                .append(vote)
                .append(' ')
                .append(leader)
                .append(' ')
                .append(commitIndex)
                .append('/')
                .append(applied)
                .append(' ')
                .append(matched)
                .append(' ')
                .append(round)
                .append('/')
                .append(confirmed)
                .append(' ')
                .append(standing.sound())
                .append(quiet())
                .append(now <= stoodAt + timing.electionTimeoutMicros())
                .append(runs)
                .append(new TreeMap<>(known))
                .append(new TreeMap<>(votes))
                .append(proposed.keySet())
                .append(storing.durable);
        for (long i = log.baseIndex() + 1; i <= log.lastIndex(); i++) {
            text.append(' ').append(log.term(i)).append(log.get(i).command());
        }
        peers.forEach((n, p) -> text.append(' ')
                .append(n)
                .append(p.nextIndex)
                .append(',')
                .append(p.matchIndex)
                .append(',')
                .append(p.incarnation)
                .append(',')
                .append(p.recovered)
                .append(',')
                .append(p.confirmedRound)
                .append(now >= p.inFlightUntil));
        return text.toString();
    }

    // ---- Events --------------------------------------------------------------------------------------

    /** Takes in an event; returns what is to be done, in order. */
    public List<Action> handle(Event event, long nowMicros) {
        now = Math.max(now, nowMicros);
        out = new ArrayList<>();
        if (event instanceof Event.Tick) {
            tick();
        } else if (event instanceof Event.Received r) {
            received(r.from(), r.storageId(), r.message());
        } else if (event instanceof Event.Persisted p) {
            storing.done(p.token());
        } else if (event instanceof Event.RequestReceived a) {
            asked(a.token(), a.request());
        } else if (event instanceof Event.LeasesRequested l) {
            leasesAsked(l.requests());
        } else if (event instanceof Event.TransferLeadership) {
            handOver();
        }
        settle();
        return out;
    }

    /** What follows from whatever has happened. */
    private void settle() {
        if (role == Role.CANDIDATE && storing.votesAreKept() && rules.votesAreValid(now, stoodAt) && wins()) {
            lead();
        }
        stand();
        if (role == Role.LEADER) {
            advanceCommit();
            confirm();
        }
        apply();
        if (role == Role.LEADER) {
            activate();
            replicate();
        }
        storing.flush();
    }

    private void stand() {
        if (standing.settles(membership, name)) {
            follow(Math.max(term, standing.highestTerm()), null);
            vote = rules.voteAfterRecovery(); // whom it voted for in that term may be what was lost, its own included
            storing.slot = true;
        }
        boolean doubtful = standing.doubt() != null;
        if (standing.becomesSound(membership, name, leader, term, matched)) {
            storing.slot = true;
            if (doubtful) {
                standing.knownRuns().stream()
                        .filter(r -> r != 0 && !runs.contains(r))
                        .forEach(runs::add);
                runs.subList(Math.min(HardState.MAX_INCARNATIONS, runs.size()), runs.size())
                        .clear();
                say("sound again: has all that it may have promised, up to entry " + log.lastIndex());
                storing.restart(log.baseIndex()); // whatever was bad on disk is replaced
            }
        }
    }

    private void tick() {
        forwarded.entrySet().removeIf(f -> {
            if (now >= f.getValue()) {
                out.add(new Action.Respond(
                        f.getKey(),
                        new RequestResult(
                                RequestResult.Kind.UNKNOWN, registry.newest().number(), "no answer of the leader")));
            }
            return now >= f.getValue();
        });
        if (!standing.sound() && standing.shouldAsk(now)) {
            recall();
        } else if (leader != null
                && !leader.equals(name)
                && now - introducedAt
                        >= (standing.target(leader, term) < 0
                                ? 2 * timing.heartbeatMicros()
                                : 2 * timing.electionTimeoutMicros())) {
            introducedAt = now; // the leader is to know which run this is, whatever it has heard last
            promise(leader, new RaftMessage.RecoveryQuery(term, List.copyOf(runs), standing.number()));
        }
        if (role == Role.LEADER) {
            leaderTick();
        } else if (now >= electionDue) {
            role = Role.FOLLOWER;
            restElection();
            if (standing.mayVote(membership, name) && membership.voters().containsKey(name) && !storing.stalled()) {
                askBeforeStanding();
            } else if (!standing.sound()) {
                tellDoubt();
            }
        }
    }

    private void tellDoubt() {
        if (now - toldAt > TELL_EVERY || toldAt == 0) {
            toldAt = Math.max(1, now);
            say("in doubt, decides nothing: "
                    + (standing.doubt() == null ? "too few keepers have answered yet" : standing.doubt()) + "; needs "
                    + majority() + " sound keepers, or all of "
                    + membership.voters().keySet());
        }
    }

    private void recall() {
        Set<String> all = new TreeSet<>(membership.others(name));
        if (leader != null) {
            all.add(leader); // which this keeper's log may not know yet as one
        }
        all.remove(name);
        all.forEach(to -> promise(to, new RaftMessage.RecoveryQuery(term, List.copyOf(runs), standing.number())));
    }

    private void restElection() {
        electionDue = now + timing.electionTimeoutMicros() + random.nextLong(timing.electionTimeoutMicros());
    }

    private void say(String line) {
        out.add(new Action.Log(line));
    }

    private void send(String to, RaftMessage message) {
        out.add(new Action.Send(to, message));
    }

    /** Sends it once all that was decided so far is on disk. */
    private void promise(String to, RaftMessage message) {
        storing.promises.add(new Action.Send(to, message));
    }

    // ---- Messages ------------------------------------------------------------------------------------

    private void received(String from, long itsFolder, RaftMessage m) {
        if (!isHim(from, itsFolder, m)) {
            return;
        }
        if (m instanceof RaftMessage.AppendEntries
                || m instanceof RaftMessage.AppendEntriesResponse
                || m instanceof RaftMessage.VoteResponse
                || m instanceof RaftMessage.RequestVote) {
            heardTerms.merge(from, m.term(), Math::max);
        }
        if (m instanceof RaftMessage.RequestVote v) {
            vote(from, v);
            return;
        }
        if (m.term() > term) {
            follow(m.term(), null);
        }
        if (m instanceof RaftMessage.AppendEntries a) {
            append(from, a);
        } else if (m instanceof RaftMessage.AppendEntriesResponse a) {
            appended(from, a);
        } else if (m instanceof RaftMessage.RequestPreVote v) {
            boolean granted = v.term() >= term && mayHelp() && upToDate(v.lastIndex(), v.lastTerm()) && quiet();
            promise(from, new RaftMessage.PreVoteResponse(term, granted, standing.sound()));
        } else if (m instanceof RaftMessage.PreVoteResponse v
                && role == Role.PRE_CANDIDATE
                && v.term() == term
                && v.granted()) {
            votes.put(from, v.recovered());
            if (wins()) {
                standForElection(false);
            }
        } else if (m instanceof RaftMessage.VoteResponse v
                && role == Role.CANDIDATE
                && v.term() == term
                && v.granted()
                && rules.votesAreValid(now, stoodAt)) {
            votes.put(from, v.recovered());
        } else if (m instanceof RaftMessage.RecoveryQuery r) {
            recalled(from, itsFolder, r);
        } else if (m instanceof RaftMessage.RecoveryReply r) {
            if (standing.answered(from, r)) {
                say("in doubt: " + standing.doubt());
            }
        } else if (m instanceof RaftMessage.InstallSnapshotChunk p) {
            piece(from, p);
        } else if (m instanceof RaftMessage.SnapshotChunkAck p) {
            pieceTaken(from, p);
        } else if (m instanceof RaftMessage.TimeoutNow s && s.term() == term && from.equals(leader) && mayHelp()) {
            standForElection(true);
        } else if (m instanceof RaftMessage.NotAMember n) {
            notAMember(from, n);
        } else {
            passedOn(from, m);
        }
    }

    private void passedOn(String from, RaftMessage m) {
        if (m instanceof RaftMessage.ForwardedRequest f) {
            forward(from, f);
        } else if (m instanceof RaftMessage.ForwardedResponse f) {
            if (forwarded.remove(f.token()) != null) {
                out.add(new Action.Respond(f.token(), f.result()));
            }
        } else if (m instanceof RaftMessage.LeaseRequests a && role == Role.LEADER) {
            long askedAt = now;
            whenConfirmed(
                    () -> send(
                            from,
                            new RaftMessage.LeaseResponses(
                                    term, a.number(), commitIndex, grants(a.requests(), askedAt))),
                    () -> {});
        } else if (m instanceof RaftMessage.LeaseResponses g && early.size() < MOST_WAITING) {
            early.add(g);
        }
    }

    /**
     * Whether a message is from the keeper that this one knows under that name. Guards against one that came back with
     * an empty disk, and against those that were removed and do not know.
     */
    private boolean isHim(String from, long itsFolder, RaftMessage m) {
        Member member = membership.member(from);
        if (member == null) { // this keeper's own log may be behind, so that what a leader says is taken all the same
            if ((m instanceof RaftMessage.RequestPreVote || m instanceof RaftMessage.RecoveryQuery) && !quiet()) {
                send(from, new RaftMessage.NotAMember(term, "is no keeper of this tier"));
                return false;
            }
            return true;
        }
        HardState.KnownPeer before = known.get(from);
        long expected = member.storageId() != 0 ? member.storageId() : before == null ? 0 : before.storageId();
        if (expected != 0 && !rules.isSameStorage(expected, itsFolder)) {
            if (m instanceof RaftMessage.AppendEntries || m instanceof RaftMessage.InstallSnapshotChunk) {
                return true; // it leads, so it is this keeper's log that is behind and has its predecessor
            } else if (m instanceof RaftMessage.RecoveryQuery || m instanceof RaftMessage.RequestPreVote) {
                send(
                        from,
                        new RaftMessage.NotAMember(
                                term,
                                "keeps folder " + Long.toHexString(itsFolder) + ", known is "
                                        + Long.toHexString(expected)));
            }
            return false;
        }
        if (before == null || before.storageId() != itsFolder) {
            known.put(from, new HardState.KnownPeer(itsFolder, 0));
            storing.slot = true;
        }
        return true;
    }

    private void notAMember(String from, RaftMessage.NotAMember n) {
        if (role != Role.LEADER && now - toldAt > TELL_EVERY || toldAt == 0) {
            toldAt = Math.max(1, now);
            say(from + " says that this keeper " + n.reason()
                    + "; it decides nothing until it is added ('keepers add')");
        }
    }

    private void recalled(String from, long itsFolder, RaftMessage.RecoveryQuery r) {
        // One that is late, from a run that is over, is taken for the newest too; the next one of the run that lasts
        // puts that right, and the answer is to a question that nobody waits for any more.
        HardState.KnownPeer before = known.getOrDefault(from, new HardState.KnownPeer(itsFolder, 0));
        boolean past = rules.isOutdatedReplica(
                before.incarnation(), r.incarnations(), heardTerms.getOrDefault(from, 0L), r.term());
        if (before.incarnation() != r.incarnations().get(0)) {
            known.put(from, new HardState.KnownPeer(itsFolder, r.incarnations().get(0)));
            storing.slot = true;
        }
        heardTerms.put(from, r.term());
        ReplicationProgress peer = peers.get(from);
        if (peer != null && peer.incarnation != r.incarnations().get(0)) {
            peer.incarnation = r.incarnations().get(0);
            peer.matchIndex = 0;
            peer.nextIndex = log.lastIndex() + 1;
            peer.recovered = false;
            peer.confirmedRound = 0;
            peer.inFlightUntil = now;
        }
        promise(
                from,
                new RaftMessage.RecoveryReply(
                        term,
                        r.queryId(),
                        past,
                        standing.sound(),
                        standing.lost(),
                        role == Role.LEADER,
                        log.lastIndex(),
                        before.incarnation()));
    }

    // ---- Elections -----------------------------------------------------------------------------------

    /** Whether this keeper's word may make a leader. */
    private boolean mayHelp() {
        return standing.mayVote(membership, name) && membership.voters().containsKey(name);
    }

    private boolean upToDate(long lastIndex, long lastTerm) {
        return rules.isLogUpToDate(lastIndex, lastTerm, log.lastIndex(), log.lastTerm());
    }

    /** Whether nothing was heard of a leader for as long as one may be silent. */
    private boolean quiet() {
        return role != Role.LEADER && now - heardOfLeader >= timing.electionTimeoutMicros();
    }

    private void follow(long newer, String of) {
        if (newer > term) {
            term = newer;
            vote = "";
            storing.slot = true;
        }
        if (of == null || !of.equals(leader)) {
            matched = -1;
        }
        leader = of;
        if (role == Role.LEADER) {
            say("leads no more, term " + term);
            resign();
        }
        if (role != Role.FOLLOWER) {
            role = Role.FOLLOWER;
            restElection();
        }
    }

    private void resign() {
        proposed.values()
                .forEach(w -> answer(
                        w,
                        new RequestResult(
                                RequestResult.Kind.UNKNOWN, registry.newest().number(), "the leader has changed")));
        proposed.clear();
        confirming.forEach(c -> c.otherwise().run());
        confirming.clear();
        peers.clear();
        leases = null;
        pieces = null;
    }

    private void askBeforeStanding() {
        role = Role.PRE_CANDIDATE;
        leader = null;
        matched = -1;
        votes.clear();
        votes.put(name, standing.sound());
        if (wins()) {
            standForElection(false);
            return;
        }
        membership.voters().keySet().stream()
                .filter(n -> !n.equals(name))
                .forEach(to -> promise(to, new RaftMessage.RequestPreVote(term, log.lastIndex(), log.lastTerm())));
    }

    private void standForElection(boolean wanted) {
        role = Role.CANDIDATE;
        leader = null;
        matched = -1;
        term++;
        vote = name;
        storing.slot = true;
        handedOver = wanted;
        stoodAt = now;
        restElection();
        votes.clear();
        votes.put(name, standing.sound());
        membership.voters().keySet().stream()
                .filter(n -> !n.equals(name))
                .forEach(to ->
                        promise(to, new RaftMessage.RequestVote(term, log.lastIndex(), log.lastTerm(), handedOver)));
    }

    private void vote(String from, RaftMessage.RequestVote v) {
        if (v.term() > term) {
            if (!v.leadershipTransfer() && !quiet()) {
                return; // content with the leader that there is
            }
            follow(v.term(), null);
        }
        boolean granted = v.term() == term
                && rules.mayVoteFor(from, vote)
                && mayHelp()
                && (role == Role.FOLLOWER || role == Role.PRE_CANDIDATE)
                && upToDate(v.lastIndex(), v.lastTerm());
        if (granted) {
            role = Role.FOLLOWER;
            vote = from;
            storing.slot = true;
            restElection();
        }
        promise(from, new RaftMessage.VoteResponse(term, granted, standing.sound()));
    }

    private int majority() {
        return rules.majority(membership.voters().size());
    }

    /** A majority of sound keepers, or all that there are. */
    private boolean wins() {
        long in =
                votes.keySet().stream().filter(membership.voters()::containsKey).count();
        long soundOnes = votes.entrySet().stream()
                .filter(v -> v.getValue() && membership.voters().containsKey(v.getKey()))
                .count();
        return soundOnes >= majority() || in == membership.voters().size();
    }

    private void lead() {
        role = Role.LEADER;
        leader = name;
        say("leads, term " + term);
        leases = new LeaseTable(rules, now);
        round = 0;
        confirmed = 0;
        roundAt = now - timing.heartbeatMicros();
        firstOfTerm = log.lastIndex() + 1;
        peers.clear();
        membership.others(name).forEach(this::addPeer);
        put(new Command.NoOp());
    }

    private void leaderTick() {
        long heard = peers.entrySet().stream()
                .filter(p -> membership.voters().containsKey(p.getKey())
                        && now - p.getValue().lastContactAt < 2 * timing.electionTimeoutMicros())
                .count();
        int self = membership.voters().containsKey(name) ? 1 : 0;
        if (heard + self < majority()) {
            say("hears of too few keepers");
            follow(term, null);
        } else if (storing.stalled()) {
            say("its disk has not answered for " + timing.electionTimeoutMicros() / 1_000 + " ms");
            follow(term, null);
        } else if (now - roundAt >= timing.heartbeatMicros()) {
            beginRound();
        }
    }

    private void handOver() {
        if (role != Role.LEADER) {
            return;
        }
        String best = null;
        for (Map.Entry<String, ReplicationProgress> p : peers.entrySet()) {
            if (membership.voters().containsKey(p.getKey())
                    && p.getValue().recovered
                    && (best == null || p.getValue().matchIndex > peers.get(best).matchIndex)) {
                best = p.getKey();
            }
        }
        if (best != null) {
            say("hands the lead to " + best);
            send(best, new RaftMessage.TimeoutNow(term));
        }
    }

    // ---- The log, as a leader ------------------------------------------------------------------------

    private long put(Command command) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, command);
        log.append(entry);
        storing.appended.add(entry);
        if (command instanceof Command.ChangeMembership) {
            takeMembers();
            membership.others(name).forEach(this::addPeer); // one that goes is sent the entry that says so first
        }
        return entry.index();
    }

    private void addPeer(String n) {
        HardState.KnownPeer before = known.get(n);
        peers.computeIfAbsent(
                n,
                added -> new ReplicationProgress(log.lastIndex() + 1, before == null ? 0 : before.incarnation(), now));
    }

    private void takeMembers() {
        Membership inLog = log.lastMembership();
        membership = inLog != null ? inLog : snapshot != null ? snapshot.state().members() : registry.members();
    }

    private void beginRound() {
        round++;
        roundAt = now;
        peers.forEach((to, p) -> {
            if (now >= p.inFlightUntil) {
                sendEntries(to, p, MOST_ENTRIES);
            } else {
                sendEntries(to, p, 0);
            }
        });
    }

    private void sendEntries(String to, ReplicationProgress p, int most) {
        long prev = Math.max(log.baseIndex(), p.nextIndex - 1);
        List<LogEntry> entries = p.nextIndex <= log.baseIndex() ? List.of() : log.entriesFrom(p.nextIndex, most);
        if (!entries.isEmpty()) {
            p.inFlightUntil = now + timing.electionTimeoutMicros() / 2;
        }
        send(to, new RaftMessage.AppendEntries(term, prev, log.term(prev), entries, commitIndex, round));
        if (p.nextIndex <= log.baseIndex() && most > 0) {
            sendPiece(to, p);
        }
    }

    private void replicate() {
        peers.forEach((to, p) -> {
            if (now >= p.inFlightUntil && p.nextIndex <= log.lastIndex() && p.nextIndex > log.baseIndex()) {
                sendEntries(to, p, MOST_ENTRIES);
            }
        });
    }

    private void appended(String from, RaftMessage.AppendEntriesResponse a) {
        ReplicationProgress p = peers.get(from);
        if (role != Role.LEADER || a.term() != term || p == null) {
            return;
        }
        if (p.incarnation == 0) {
            p.incarnation = a.incarnation();
        } else if (!rules.isSameIncarnation(p.incarnation, a.incarnation())) {
            return; // what an earlier run promised may be gone
        }
        p.lastContactAt = now;
        p.recovered = rules.countsTowardsQuorum(a.recovered());
        if (p.recovered) {
            p.confirmedRound = Math.max(p.confirmedRound, a.round());
        }
        if (a.success()) {
            p.inFlightUntil = now;
            p.matchIndex = Math.max(p.matchIndex, a.matchIndex());
            p.nextIndex = Math.max(p.nextIndex, p.matchIndex + 1);
        } else if (p.nextIndex - 1 > a.matchIndex()) {
            p.nextIndex = Math.max(1, a.matchIndex() + 1);
            p.inFlightUntil = now;
            if (p.nextIndex <= log.baseIndex()) {
                sendPiece(from, p);
            }
        }
    }

    private void advanceCommit() {
        List<Long> have = new ArrayList<>();
        membership.voters().keySet().forEach(n -> {
            ReplicationProgress p = peers.get(n);
            have.add(n.equals(name) ? storing.durable : p != null && p.recovered ? p.matchIndex : 0);
        });
        have.sort(null);
        long agreed = have.get(have.size() - majority());
        if (agreed > commitIndex && rules.mayCommitEntry(log.term(agreed), term)) {
            commitIndex = agreed;
        }
    }

    // ---- The log, as a follower ----------------------------------------------------------------------

    private void append(String from, RaftMessage.AppendEntries a) {
        if (a.term() < term) {
            promise(from, new RaftMessage.AppendEntriesResponse(term, false, log.lastIndex(), 0, runs.get(0), false));
            return;
        }
        heard(from);
        long have = log.term(a.prevIndex());
        if (a.prevIndex() < log.baseIndex()) { // all of it is covered: what is committed is the same everywhere
            promise(
                    from,
                    new RaftMessage.AppendEntriesResponse(
                            term, true, log.baseIndex(), a.round(), runs.get(0), standing.sound()));
            return;
        } else if (have != a.prevTerm()) {
            long hint = Math.min(log.lastIndex(), a.prevIndex() - 1);
            while (have >= 0 && hint > log.baseIndex() && hint > commitIndex && log.term(hint) == have) {
                hint--; // a whole term at a time
            }
            promise(
                    from,
                    new RaftMessage.AppendEntriesResponse(term, false, hint, a.round(), runs.get(0), standing.sound()));
            return;
        }
        boolean changed = false;
        for (LogEntry e : a.entries()) {
            if (log.term(e.index()) == e.term()) {
                continue;
            }
            if (e.index() <= log.lastIndex()) {
                if (e.index() <= commitIndex) {
                    throw new IllegalStateException("entry " + e.index() + " is committed and would change");
                }
                log.truncateAfter(e.index() - 1);
                storing.cut(e.index() - 1);
            }
            log.append(e);
            storing.appended.add(e);
            changed = true;
        }
        if (changed) {
            takeMembers();
        }
        matched = a.prevIndex() + a.entries().size();
        commitIndex = Math.max(commitIndex, Math.min(a.leaderCommit(), matched));
        promise(
                from,
                new RaftMessage.AppendEntriesResponse(term, true, matched, a.round(), runs.get(0), standing.sound()));
    }

    private void heard(String from) {
        if (role != Role.FOLLOWER || !from.equals(leader)) {
            follow(term, from);
        }
        heardOfLeader = now;
        restElection();
    }

    // ---- Snapshots -----------------------------------------------------------------------------------

    private void sendPiece(String to, ReplicationProgress p) {
        if (piecesOf != snapshot.lastIncludedIndex() || pieces == null) {
            pieces = codec.encode(snapshot);
            piecesOf = snapshot.lastIncludedIndex();
        }
        if (p.chunkSnapshotIndex != piecesOf) {
            p.chunkSnapshotIndex = piecesOf;
            p.chunkOffset = 0;
        }
        int length = (int) Math.min(PIECE, pieces.length - p.chunkOffset);
        byte[] bytes = java.util.Arrays.copyOfRange(pieces, (int) p.chunkOffset, (int) p.chunkOffset + length);
        p.inFlightUntil = now + timing.electionTimeoutMicros() / 2;
        send(
                to,
                new RaftMessage.InstallSnapshotChunk(
                        term,
                        snapshot.lastIncludedIndex(),
                        snapshot.lastIncludedTerm(),
                        p.chunkOffset,
                        pieces.length,
                        bytes,
                        round));
    }

    private void piece(String from, RaftMessage.InstallSnapshotChunk p) {
        if (p.term() < term
                || p.totalSize() > Integer.MAX_VALUE / 2
                || p.offset() < 0
                || p.offset() + p.data().length > p.totalSize()) {
            return;
        }
        heard(from);
        if (p.lastIncludedIndex() <= commitIndex) {
            promise(from, new RaftMessage.SnapshotChunkAck(term, p.lastIncludedIndex(), p.totalSize(), p.round()));
            return;
        }
        if (incoming == null || incoming.lastIncludedIndex() != p.lastIncludedIndex() || incoming.term() != p.term()) {
            incoming = p;
            assembled = new byte[0];
        }
        if (p.offset() == assembled.length) {
            byte[] more = java.util.Arrays.copyOf(assembled, assembled.length + p.data().length);
            System.arraycopy(p.data(), 0, more, assembled.length, p.data().length);
            assembled = more;
        }
        long have = assembled.length;
        if (have == p.totalSize()) {
            Snapshot state = codec.decode(assembled);
            incoming = null;
            assembled = null;
            if (state == null
                    || state.lastIncludedIndex() != p.lastIncludedIndex()
                    || state.lastIncludedTerm() != p.lastIncludedTerm()) {
                say("a snapshot of " + from + " cannot be read");
                return;
            }
            install(state);
        }
        promise(from, new RaftMessage.SnapshotChunkAck(term, p.lastIncludedIndex(), have, p.round()));
    }

    private void install(Snapshot state) {
        boolean follows = log.term(state.lastIncludedIndex()) == state.lastIncludedTerm();
        snapshot = state;
        storing.snapshot = state;
        if (follows) {
            log.compactThrough(state.lastIncludedIndex());
        } else {
            log.resetTo(state.lastIncludedIndex(), state.lastIncludedTerm());
            storing.cut(state.lastIncludedIndex());
            storing.restart(state.lastIncludedIndex());
        }
        registry.restore(state.state());
        commitIndex = Math.max(commitIndex, state.lastIncludedIndex());
        applied = state.lastIncludedIndex();
        matched = state.lastIncludedIndex();
        takeMembers();
        out.add(new Action.ConfigChanged(registry.active(), registry.pending()));
    }

    private void pieceTaken(String from, RaftMessage.SnapshotChunkAck t) {
        ReplicationProgress p = peers.get(from);
        if (role != Role.LEADER || t.term() != term || p == null || t.lastIncludedIndex() != p.chunkSnapshotIndex) {
            return;
        }
        p.lastContactAt = now;
        p.inFlightUntil = now;
        p.chunkOffset = Math.min(t.nextOffset(), pieces == null ? 0 : pieces.length);
        if (pieces != null && p.chunkOffset >= pieces.length) {
            p.nextIndex = Math.max(p.nextIndex, t.lastIncludedIndex() + 1);
            p.chunkOffset = 0;
        } else if (p.nextIndex <= log.baseIndex()) {
            sendPiece(from, p);
        }
    }

    private void takeSnapshot() {
        snapshot = new Snapshot(applied, log.term(applied), registry.snapshotState());
        storing.snapshot = snapshot;
        log.compactThrough(applied - timing.snapshotInterval()); // those who are not far behind need no snapshot
    }

    // ---- What is committed ---------------------------------------------------------------------------

    private void apply() {
        boolean news = false;
        while (applied < commitIndex) {
            LogEntry e = log.get(++applied);
            RequestResult outcome = registry.apply(e.command());
            news |= e.command() instanceof Command.Write || e.command() instanceof Command.Activate;
            Waiting w = proposed.remove(e.index());
            if (w != null) {
                answer(
                        w,
                        w.term() == e.term()
                                ? outcome
                                : new RequestResult(
                                        RequestResult.Kind.UNKNOWN,
                                        registry.newest().number(),
                                        "another entry took its place"));
            }
            if (e.command() instanceof Command.ChangeMembership && role == Role.LEADER) {
                changed();
            }
        }
        if (news) {
            out.add(new Action.ConfigChanged(registry.active(), registry.pending()));
        }
        early.removeIf(g -> {
            if (g.commitIndex() <= applied) {
                g.responses().forEach(grant -> out.add(new Action.SendLease(grant)));
            }
            return g.commitIndex() <= applied;
        });
        if (applied - (snapshot == null ? 0 : snapshot.lastIncludedIndex()) >= timing.snapshotInterval()) {
            takeSnapshot();
        }
    }

    /** A set of keepers is committed: whoever is not in it need not be sent anything any more. */
    private void changed() {
        peers.keySet().removeIf(n -> membership.member(n) == null);
        known.keySet().removeIf(n -> membership.member(n) == null);
        if (membership.member(name) == null) {
            say("is no keeper any more");
            follow(term, null);
        }
    }

    // ---- Requests ------------------------------------------------------------------------------------

    private void answer(Waiting w, RequestResult outcome) {
        if (w.from() == null) {
            out.add(new Action.Respond(w.token(), outcome));
        } else {
            send(w.from(), new RaftMessage.ForwardedResponse(term, w.token(), outcome));
        }
    }

    private void asked(long token, ClientRequest request) {
        if (role == Role.LEADER) {
            decide(new Waiting(term, null, token), request);
        } else if (leader == null) {
            out.add(new Action.Respond(
                    token,
                    new RequestResult(
                            RequestResult.Kind.NO_LEADER, registry.newest().number(), "no leader is known")));
        } else if (forwarded.size() >= MOST_WAITING) {
            out.add(new Action.Respond(
                    token,
                    new RequestResult(RequestResult.Kind.BUSY, registry.newest().number(), "too many requests wait")));
        } else {
            forwarded.put(token, now + FORWARD_TIME);
            send(leader, new RaftMessage.ForwardedRequest(term, token, request));
        }
    }

    private void forward(String from, RaftMessage.ForwardedRequest f) {
        Waiting w = new Waiting(term, from, f.token());
        if (role == Role.LEADER) {
            decide(w, f.request());
        } else {
            answer(
                    w,
                    new RequestResult(
                            RequestResult.Kind.NO_LEADER, registry.newest().number(), "does not lead"));
        }
    }

    private void decide(Waiting w, ClientRequest request) {
        if (commitIndex < firstOfTerm) {
            answer(
                    w,
                    new RequestResult(
                            RequestResult.Kind.NO_LEADER, registry.newest().number(), "has only just begun to lead"));
        } else if (proposed.size() + confirming.size() >= MOST_WAITING) {
            answer(
                    w,
                    new RequestResult(RequestResult.Kind.BUSY, registry.newest().number(), "too many requests wait"));
        } else if (request instanceof ClientRequest.Read) {
            whenConfirmed(
                    () -> answer(
                            w,
                            new RequestResult(
                                    RequestResult.Kind.DONE, registry.newest().number(), "")),
                    () -> answer(
                            w,
                            new RequestResult(
                                    RequestResult.Kind.NO_LEADER,
                                    registry.newest().number(),
                                    "leads no more")));
        } else if (request instanceof ClientRequest.Set set) {
            RequestResult before = refusal(set.write());
            if (before != null) { // decided by what is committed, which only a leader may say that is the newest
                whenConfirmed(
                        () -> answer(w, before),
                        () -> answer(
                                w,
                                new RequestResult(
                                        RequestResult.Kind.UNKNOWN,
                                        registry.newest().number(),
                                        "leads no more")));
            } else {
                proposed.put(put(set.write()), w);
            }
        } else {
            change(w, request);
        }
    }

    /** What is known of a write before it is put into the log; null if it has to be. */
    private RequestResult refusal(Command.Write write) {
        RequestResult before = registry.resultOf(write.requestId());
        if (before != null) {
            return before;
        }
        RequestResult stale = registry.rejection(write.parentVersion());
        if (stale != null) {
            return stale;
        }
        List<String> faults = ConfigSchema.violations(registry.active().content(), write.content());
        if (faults.isEmpty() && ConfigSchema.requiredVersion(write.content()) > leases.oldestSchemaVersion(now)) {
            return new RequestResult(
                    RequestResult.Kind.BUSY,
                    registry.active().number(),
                    "a balancer knows the schema up to version " + leases.oldestSchemaVersion(now) + ", this needs "
                            + ConfigSchema.requiredVersion(write.content()));
        }
        return faults.isEmpty()
                ? null
                : new RequestResult(
                        RequestResult.Kind.REFUSED, registry.active().number(), String.join("; ", faults));
    }

    private void change(Waiting w, ClientRequest request) {
        Membership next = null;
        String fault = null;
        if (!rules.mayChangeMembership(membership, registry.members())) {
            fault = "another change of keepers is not committed yet";
        } else if (request instanceof ClientRequest.AddMember add) {
            if (membership.member(add.member().name()) != null) {
                fault = add.member().name() + " is a keeper already; remove it first";
            } else if (membership.voters().size() >= Membership.MAX_VOTERS || membership.learner() != null) {
                fault = membership.learner() != null
                        ? membership.learner().name() + " is still catching up"
                        : Membership.MAX_VOTERS + " keepers at most";
            } else {
                next = membership.withLearner(add.member());
            }
        } else if (request instanceof ClientRequest.RemoveMember remove) {
            Member gone = membership.member(remove.name());
            if (gone == null || remove.storageId() != 0 && remove.storageId() != gone.storageId()) {
                fault = remove.name() + " with that folder is no keeper";
            } else if (membership.voters().size() == 1 && membership.voters().containsKey(remove.name())) {
                fault = "the last keeper cannot go";
            } else {
                next = membership.withoutMember(remove.name());
            }
        }
        if (next == null) {
            answer(
                    w,
                    new RequestResult(
                            RequestResult.Kind.REFUSED, registry.newest().number(), fault));
        } else {
            proposed.put(put(new Command.ChangeMembership(next)), w);
        }
    }

    // ---- Rounds and leases ---------------------------------------------------------------------------

    /** Does something once a round that begins after now has shown that this keeper still leads. */
    private void whenConfirmed(Runnable then, Runnable otherwise) {
        confirming.add(new Confirming(round + 1, then, otherwise));
    }

    private void confirm() {
        List<Long> echoed = new ArrayList<>();
        membership.voters().keySet().forEach(n -> {
            ReplicationProgress p = peers.get(n);
            echoed.add(n.equals(name) ? round : p != null && p.recovered ? p.confirmedRound : 0);
        });
        echoed.sort(null);
        confirmed = Math.max(confirmed, echoed.get(echoed.size() - majority()));
        if (confirming.stream().anyMatch(c -> c.round() > round) && confirmed >= round) {
            beginRound(); // nothing is under way that would do
            if (majority() == 1) {
                confirmed = round;
            }
        }
        List<Confirming> done = confirming.stream()
                .filter(c -> rules.isLeadershipConfirmed(c.round(), confirmed))
                .toList();
        confirming.removeAll(done);
        done.forEach(c -> c.then().run());
    }

    private void leasesAsked(List<LeaseRequest> asks) {
        if (role == Role.LEADER) {
            long askedAt = now;
            whenConfirmed(() -> grants(asks, askedAt).forEach(g -> out.add(new Action.SendLease(g))), () -> {});
        } else if (leader != null) {
            send(leader, new RaftMessage.LeaseRequests(term, 0, List.copyOf(asks)));
        }
    }

    private List<LeaseResponse> grants(List<LeaseRequest> asks, long askedAt) {
        if (commitIndex < firstOfTerm || applied < commitIndex) {
            return List.of(); // what a leader before may have committed is not known yet
        }
        return asks.stream()
                .map(a -> leases.grant(a, askedAt, registry.active(), registry.pending()))
                .toList();
    }

    /** What only time or others' answers make possible: a version in force, a learner a voter, folders known. */
    private void activate() {
        if (commitIndex < firstOfTerm) {
            return;
        }
        ConfigVersion next = registry.pending();
        if (next != null
                && leases.allHoldersCover(next.number(), now)
                && !log.containsActivation(next.number(), commitIndex)) {
            put(new Command.Activate(next.number()));
        }
        if (!rules.mayChangeMembership(membership, registry.members())) {
            return;
        }
        ReplicationProgress learner = membership.learner() == null
                ? null
                : peers.get(membership.learner().name());
        if (learner != null && learner.recovered && learner.matchIndex >= commitIndex && learner.matchIndex > 0) {
            put(new Command.ChangeMembership(membership.promoted()));
            return;
        }
        Map<String, Long> folders = new HashMap<>();
        known.forEach((n, k) -> folders.put(n, k.storageId()));
        folders.put(name, folder);
        Membership bound = membership.withStorageIds(folders);
        if (!bound.equals(membership) && bound.voters().values().stream().allMatch(m -> m.storageId() != 0)) {
            put(new Command.ChangeMembership(bound));
        }
    }
}
