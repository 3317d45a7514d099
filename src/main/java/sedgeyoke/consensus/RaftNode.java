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
    private final StateCodec codec;
    private final RaftLog log;
    private final ConfigStateMachine registry;
    private final ReplicaRecovery standing;
    private final List<Long> runs;
    private final Map<String, HardState.Known> known;
    /** The newest term that each has spoken in, as it had it on disk then. */
    private final Map<String, Long> heardTerms = new HashMap<>();

    private Snapshot snapshot;
    private Membership members;

    private Role role = Role.FOLLOWER;
    private long term;
    private String vote;
    private String leader;
    private long commit;
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

    private final List<RaftMessage.Grants> early = new ArrayList<>();
    private RaftMessage.Piece incoming;
    private byte[] assembled;

    // what goes to disk
    private final Storing storing = new Storing();
    private List<Action> out = new ArrayList<>();

    /** What a keeper is at. */
    public enum Role {
        /** It follows, or waits for a leader. */
        FOLLOWER,
        /** It asks whether it could win. */
        ASKING,
        /** It stands. */
        CANDIDATE,
        /** It leads. */
        LEADER
    }

    /** What a folder says of the keeper that has it. */
    public record Recovered(HardState slot, Snapshot snapshot, List<LogEntry> entries, String doubt, boolean lost) {}

    /** Who it is. */
    public record Self(String name, long folder, long run) {}

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
            return !open.isEmpty() && now - open.firstEntry().getValue()[0] > timing.election();
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
            appended.addAll(log.from(behind + 1, Integer.MAX_VALUE));
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
                open.put(tokens, new long[] {now, log.last()});
                slotToken = slot ? tokens : slotToken;
                slot = false;
                restart = -1;
                snapshot = null;
                keep = -1;
                appended.clear();
            }
            if (!promises.isEmpty()) {
                if (open.isEmpty() || !rules.promisesWaitForDisk()) {
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
            Self self,
            SafetyRules rules,
            Recovered found,
            Membership members,
            StateCodec codec,
            SplittableRandom random,
            long now) {
        this.name = self.name();
        this.folder = self.folder();
        this.rules = rules;
        this.timing = rules.timing();
        this.codec = codec;
        this.random = random;
        this.now = now;
        this.term = found.slot().term();
        this.vote = found.slot().vote();
        this.known = new HashMap<>(found.slot().known());
        this.runs = new ArrayList<>(found.slot().runs());
        runs.add(0, self.run());
        runs.subList(Math.min(HardState.MOST_RUNS, runs.size()), runs.size()).clear();
        this.snapshot = found.snapshot();
        long covered = snapshot == null ? 0 : snapshot.covered();
        this.log = new RaftLog(covered, snapshot == null ? 0 : snapshot.term(), found.entries());
        this.registry = snapshot == null
                ? new ConfigStateMachine(members, rules)
                : new ConfigStateMachine(snapshot.state(), rules);
        this.commit = covered;
        this.applied = covered;
        this.standing = new ReplicaRecovery(rules, self.run(), found.doubt(), found.lost(), now);
        storing.durable = log.last();
        storing.slot = true; // the new run: others must not hear of it before the disk knows
        takeMembers();
        restElection();
        heardOfLeader = now - timing.election();
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
    public long commit() {
        return commit;
    }

    /** The last entry that it has. */
    public long last() {
        return log.last();
    }

    /** The entry before the first that it has. */
    public long base() {
        return log.base();
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
    public Membership members() {
        return members;
    }

    /** Whether it may vote and be counted. */
    public boolean sound() {
        return standing.sound();
    }

    /** Why it may have lost what it promised; null if it has not. */
    public String doubt() {
        return standing.doubt();
    }

    /** How many balancers hold a lease, as far as a leader knows; 0 elsewhere. */
    public int holders() {
        return leases == null ? 0 : leases.size(now);
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
                .append(commit)
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
                .append(now <= stoodAt + timing.election())
                .append(runs)
                .append(new TreeMap<>(known))
                .append(new TreeMap<>(votes))
                .append(proposed.keySet())
                .append(storing.durable);
        for (long i = log.base() + 1; i <= log.last(); i++) {
            text.append(' ').append(log.term(i)).append(log.get(i).command());
        }
        peers.forEach((n, p) -> text.append(' ')
                .append(n)
                .append(p.next)
                .append(',')
                .append(p.match)
                .append(',')
                .append(p.run)
                .append(',')
                .append(p.sound)
                .append(',')
                .append(p.round)
                .append(now >= p.busyUntil));
        return text.toString();
    }

    // ---- Events --------------------------------------------------------------------------------------

    /** Takes in an event; returns what is to be done, in order. */
    public List<Action> on(Event event, long at) {
        now = Math.max(now, at);
        out = new ArrayList<>();
        if (event instanceof Event.Tick) {
            tick();
        } else if (event instanceof Event.Received r) {
            received(r.from(), r.folder(), r.message());
        } else if (event instanceof Event.Persisted p) {
            storing.done(p.token());
        } else if (event instanceof Event.Asked a) {
            asked(a.token(), a.request());
        } else if (event instanceof Event.LeasesAsked l) {
            leasesAsked(l.asks());
        } else if (event instanceof Event.Leave) {
            handOver();
        }
        settle();
        return out;
    }

    /** What follows from whatever has happened. */
    private void settle() {
        if (role == Role.CANDIDATE && storing.votesAreKept() && rules.votesStillCount(now, stoodAt) && wins()) {
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
        if (standing.settles(members, name)) {
            follow(Math.max(term, standing.highestTerm()), null);
            vote = rules.voteAfterDoubt(); // whom it voted for in that term may be what was lost, its own included
            storing.slot = true;
        }
        boolean doubtful = standing.doubt() != null;
        if (standing.becomesSound(members, name, leader, term, matched)) {
            storing.slot = true;
            if (doubtful) {
                standing.knownRuns().stream()
                        .filter(r -> r != 0 && !runs.contains(r))
                        .forEach(runs::add);
                runs.subList(Math.min(HardState.MOST_RUNS, runs.size()), runs.size())
                        .clear();
                say("sound again: has all that it may have promised, up to entry " + log.last());
                storing.restart(log.base()); // whatever was bad on disk is replaced
            }
        }
    }

    private void tick() {
        forwarded.entrySet().removeIf(f -> {
            if (now >= f.getValue()) {
                out.add(new Action.Answer(
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
                        >= (standing.target(leader, term) < 0 ? 2 * timing.heartbeat() : 2 * timing.election())) {
            introducedAt = now; // the leader is to know which run this is, whatever it has heard last
            promise(leader, new RaftMessage.Recall(term, List.copyOf(runs), standing.number()));
        }
        if (role == Role.LEADER) {
            leaderTick();
        } else if (now >= electionDue) {
            role = Role.FOLLOWER;
            restElection();
            if (standing.mayVote(members, name) && members.voters().containsKey(name) && !storing.stalled()) {
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
                    + members.voters().keySet());
        }
    }

    private void recall() {
        Set<String> all = new TreeSet<>(members.others(name));
        if (leader != null) {
            all.add(leader); // which this keeper's log may not know yet as one
        }
        all.remove(name);
        all.forEach(to -> promise(to, new RaftMessage.Recall(term, List.copyOf(runs), standing.number())));
    }

    private void restElection() {
        electionDue = now + timing.election() + random.nextLong(timing.election());
    }

    private void say(String line) {
        out.add(new Action.Say(line));
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
        if (m instanceof RaftMessage.Append
                || m instanceof RaftMessage.Appended
                || m instanceof RaftMessage.Voted
                || m instanceof RaftMessage.Vote) {
            heardTerms.merge(from, m.term(), Math::max);
        }
        if (m instanceof RaftMessage.Vote v) {
            vote(from, v);
            return;
        }
        if (m.term() > term) {
            follow(m.term(), null);
        }
        if (m instanceof RaftMessage.Append a) {
            append(from, a);
        } else if (m instanceof RaftMessage.Appended a) {
            appended(from, a);
        } else if (m instanceof RaftMessage.PreVote v) {
            boolean granted = v.term() >= term && mayHelp() && upToDate(v.lastIndex(), v.lastTerm()) && quiet();
            promise(from, new RaftMessage.PreVoted(term, granted, standing.sound()));
        } else if (m instanceof RaftMessage.PreVoted v && role == Role.ASKING && v.term() == term && v.granted()) {
            votes.put(from, v.sound());
            if (wins()) {
                standForElection(false);
            }
        } else if (m instanceof RaftMessage.Voted v
                && role == Role.CANDIDATE
                && v.term() == term
                && v.granted()
                && rules.votesStillCount(now, stoodAt)) {
            votes.put(from, v.sound());
        } else if (m instanceof RaftMessage.Recall r) {
            recalled(from, itsFolder, r);
        } else if (m instanceof RaftMessage.Recalled r) {
            if (standing.answered(from, r)) {
                say("in doubt: " + standing.doubt());
            }
        } else if (m instanceof RaftMessage.Piece p) {
            piece(from, p);
        } else if (m instanceof RaftMessage.PieceTaken p) {
            pieceTaken(from, p);
        } else if (m instanceof RaftMessage.StandNow s && s.term() == term && from.equals(leader) && mayHelp()) {
            standForElection(true);
        } else if (m instanceof RaftMessage.NotAMember n) {
            notAMember(from, n);
        } else {
            passedOn(from, m);
        }
    }

    private void passedOn(String from, RaftMessage m) {
        if (m instanceof RaftMessage.Forward f) {
            forward(from, f);
        } else if (m instanceof RaftMessage.Forwarded f) {
            if (forwarded.remove(f.token()) != null) {
                out.add(new Action.Answer(f.token(), f.outcome()));
            }
        } else if (m instanceof RaftMessage.Asks a && role == Role.LEADER) {
            long askedAt = now;
            whenConfirmed(
                    () -> send(from, new RaftMessage.Grants(term, a.number(), commit, grants(a.asks(), askedAt))),
                    () -> {});
        } else if (m instanceof RaftMessage.Grants g && early.size() < MOST_WAITING) {
            early.add(g);
        }
    }

    /**
     * Whether a message is from the keeper that this one knows under that name. Guards against one that came back with
     * an empty disk, and against those that were removed and do not know.
     */
    private boolean isHim(String from, long itsFolder, RaftMessage m) {
        Member member = members.member(from);
        if (member == null) { // this keeper's own log may be behind, so that what a leader says is taken all the same
            if ((m instanceof RaftMessage.PreVote || m instanceof RaftMessage.Recall) && !quiet()) {
                send(from, new RaftMessage.NotAMember(term, "is no keeper of this tier"));
                return false;
            }
            return true;
        }
        HardState.Known before = known.get(from);
        long expected = member.folder() != 0 ? member.folder() : before == null ? 0 : before.folder();
        if (expected != 0 && !rules.sameFolder(expected, itsFolder)) {
            if (m instanceof RaftMessage.Append || m instanceof RaftMessage.Piece) {
                return true; // it leads, so it is this keeper's log that is behind and has its predecessor
            } else if (m instanceof RaftMessage.Recall || m instanceof RaftMessage.PreVote) {
                send(
                        from,
                        new RaftMessage.NotAMember(
                                term,
                                "keeps folder " + Long.toHexString(itsFolder) + ", known is "
                                        + Long.toHexString(expected)));
            }
            return false;
        }
        if (before == null || before.folder() != itsFolder) {
            known.put(from, new HardState.Known(itsFolder, 0));
            storing.slot = true;
        }
        return true;
    }

    private void notAMember(String from, RaftMessage.NotAMember n) {
        if (role != Role.LEADER && now - toldAt > TELL_EVERY || toldAt == 0) {
            toldAt = Math.max(1, now);
            say(from + " says that this keeper " + n.why() + "; it decides nothing until it is added ('keepers add')");
        }
    }

    private void recalled(String from, long itsFolder, RaftMessage.Recall r) {
        // One that is late, from a run that is over, is taken for the newest too; the next one of the run that lasts
        // puts that right, and the answer is to a question that nobody waits for any more.
        HardState.Known before = known.getOrDefault(from, new HardState.Known(itsFolder, 0));
        boolean past = rules.isOfThePast(before.run(), r.runs(), heardTerms.getOrDefault(from, 0L), r.term());
        if (before.run() != r.runs().get(0)) {
            known.put(from, new HardState.Known(itsFolder, r.runs().get(0)));
            storing.slot = true;
        }
        heardTerms.put(from, r.term());
        ReplicationProgress peer = peers.get(from);
        if (peer != null && peer.run != r.runs().get(0)) {
            peer.run = r.runs().get(0);
            peer.match = 0;
            peer.next = log.last() + 1;
            peer.sound = false;
            peer.round = 0;
            peer.busyUntil = now;
        }
        promise(
                from,
                new RaftMessage.Recalled(
                        term,
                        r.number(),
                        past,
                        standing.sound(),
                        standing.lost(),
                        role == Role.LEADER,
                        log.last(),
                        before.run()));
    }

    // ---- Elections -----------------------------------------------------------------------------------

    /** Whether this keeper's word may make a leader. */
    private boolean mayHelp() {
        return standing.mayVote(members, name) && members.voters().containsKey(name);
    }

    private boolean upToDate(long lastIndex, long lastTerm) {
        return rules.upToDate(lastIndex, lastTerm, log.last(), log.lastTerm());
    }

    /** Whether nothing was heard of a leader for as long as one may be silent. */
    private boolean quiet() {
        return role != Role.LEADER && now - heardOfLeader >= timing.election();
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
        role = Role.ASKING;
        leader = null;
        matched = -1;
        votes.clear();
        votes.put(name, standing.sound());
        if (wins()) {
            standForElection(false);
            return;
        }
        members.voters().keySet().stream()
                .filter(n -> !n.equals(name))
                .forEach(to -> promise(to, new RaftMessage.PreVote(term, log.last(), log.lastTerm())));
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
        members.voters().keySet().stream()
                .filter(n -> !n.equals(name))
                .forEach(to -> promise(to, new RaftMessage.Vote(term, log.last(), log.lastTerm(), handedOver)));
    }

    private void vote(String from, RaftMessage.Vote v) {
        if (v.term() > term) {
            if (!v.handedOver() && !quiet()) {
                return; // content with the leader that there is
            }
            follow(v.term(), null);
        }
        boolean granted = v.term() == term
                && rules.mayVoteFor(from, vote)
                && mayHelp()
                && (role == Role.FOLLOWER || role == Role.ASKING)
                && upToDate(v.lastIndex(), v.lastTerm());
        if (granted) {
            role = Role.FOLLOWER;
            vote = from;
            storing.slot = true;
            restElection();
        }
        promise(from, new RaftMessage.Voted(term, granted, standing.sound()));
    }

    private int majority() {
        return rules.majority(members.voters().size());
    }

    /** A majority of sound keepers, or all that there are. */
    private boolean wins() {
        long in = votes.keySet().stream().filter(members.voters()::containsKey).count();
        long soundOnes = votes.entrySet().stream()
                .filter(v -> v.getValue() && members.voters().containsKey(v.getKey()))
                .count();
        return soundOnes >= majority() || in == members.voters().size();
    }

    private void lead() {
        role = Role.LEADER;
        leader = name;
        say("leads, term " + term);
        leases = new LeaseTable(rules, now);
        round = 0;
        confirmed = 0;
        roundAt = now - timing.heartbeat();
        firstOfTerm = log.last() + 1;
        peers.clear();
        members.others(name).forEach(this::addPeer);
        put(new Command.Nothing());
    }

    private void leaderTick() {
        long heard = peers.entrySet().stream()
                .filter(p ->
                        members.voters().containsKey(p.getKey()) && now - p.getValue().heardAt < 2 * timing.election())
                .count();
        int self = members.voters().containsKey(name) ? 1 : 0;
        if (heard + self < majority()) {
            say("hears of too few keepers");
            follow(term, null);
        } else if (storing.stalled()) {
            say("its disk has not answered for " + timing.election() / 1_000 + " ms");
            follow(term, null);
        } else if (now - roundAt >= timing.heartbeat()) {
            beginRound();
        }
    }

    private void handOver() {
        if (role != Role.LEADER) {
            return;
        }
        String best = null;
        for (Map.Entry<String, ReplicationProgress> p : peers.entrySet()) {
            if (members.voters().containsKey(p.getKey())
                    && p.getValue().sound
                    && (best == null || p.getValue().match > peers.get(best).match)) {
                best = p.getKey();
            }
        }
        if (best != null) {
            say("hands the lead to " + best);
            send(best, new RaftMessage.StandNow(term));
        }
    }

    // ---- The log, as a leader ------------------------------------------------------------------------

    private long put(Command command) {
        LogEntry entry = new LogEntry(log.last() + 1, term, command);
        log.add(entry);
        storing.appended.add(entry);
        if (command instanceof Command.Change) {
            takeMembers();
            members.others(name).forEach(this::addPeer); // one that goes is sent the entry that says so first
        }
        return entry.index();
    }

    private void addPeer(String n) {
        HardState.Known before = known.get(n);
        peers.computeIfAbsent(
                n, added -> new ReplicationProgress(log.last() + 1, before == null ? 0 : before.run(), now));
    }

    private void takeMembers() {
        Membership inLog = log.lastMembers();
        members = inLog != null ? inLog : snapshot != null ? snapshot.state().members() : registry.members();
    }

    private void beginRound() {
        round++;
        roundAt = now;
        peers.forEach((to, p) -> {
            if (now >= p.busyUntil) {
                sendEntries(to, p, MOST_ENTRIES);
            } else {
                sendEntries(to, p, 0);
            }
        });
    }

    private void sendEntries(String to, ReplicationProgress p, int most) {
        long prev = Math.max(log.base(), p.next - 1);
        List<LogEntry> entries = p.next <= log.base() ? List.of() : log.from(p.next, most);
        if (!entries.isEmpty()) {
            p.busyUntil = now + timing.election() / 2;
        }
        send(to, new RaftMessage.Append(term, prev, log.term(prev), entries, commit, round));
        if (p.next <= log.base() && most > 0) {
            sendPiece(to, p);
        }
    }

    private void replicate() {
        peers.forEach((to, p) -> {
            if (now >= p.busyUntil && p.next <= log.last() && p.next > log.base()) {
                sendEntries(to, p, MOST_ENTRIES);
            }
        });
    }

    private void appended(String from, RaftMessage.Appended a) {
        ReplicationProgress p = peers.get(from);
        if (role != Role.LEADER || a.term() != term || p == null) {
            return;
        }
        if (p.run == 0) {
            p.run = a.run();
        } else if (!rules.sameRun(p.run, a.run())) {
            return; // what an earlier run promised may be gone
        }
        p.heardAt = now;
        p.sound = rules.counts(a.sound());
        if (p.sound) {
            p.round = Math.max(p.round, a.round());
        }
        if (a.ok()) {
            p.busyUntil = now;
            p.match = Math.max(p.match, a.matched());
            p.next = Math.max(p.next, p.match + 1);
        } else if (p.next - 1 > a.matched()) {
            p.next = Math.max(1, a.matched() + 1);
            p.busyUntil = now;
            if (p.next <= log.base()) {
                sendPiece(from, p);
            }
        }
    }

    private void advanceCommit() {
        List<Long> have = new ArrayList<>();
        members.voters().keySet().forEach(n -> {
            ReplicationProgress p = peers.get(n);
            have.add(n.equals(name) ? storing.durable : p != null && p.sound ? p.match : 0);
        });
        have.sort(null);
        long agreed = have.get(have.size() - majority());
        if (agreed > commit && rules.mayCommit(log.term(agreed), term)) {
            commit = agreed;
        }
    }

    // ---- The log, as a follower ----------------------------------------------------------------------

    private void append(String from, RaftMessage.Append a) {
        if (a.term() < term) {
            promise(from, new RaftMessage.Appended(term, false, log.last(), 0, runs.get(0), false));
            return;
        }
        heard(from);
        long have = log.term(a.prevIndex());
        if (a.prevIndex() < log.base()) { // all of it is covered: what is committed is the same everywhere
            promise(from, new RaftMessage.Appended(term, true, log.base(), a.round(), runs.get(0), standing.sound()));
            return;
        } else if (have != a.prevTerm()) {
            long hint = Math.min(log.last(), a.prevIndex() - 1);
            while (have >= 0 && hint > log.base() && hint > commit && log.term(hint) == have) {
                hint--; // a whole term at a time
            }
            promise(from, new RaftMessage.Appended(term, false, hint, a.round(), runs.get(0), standing.sound()));
            return;
        }
        boolean changed = false;
        for (LogEntry e : a.entries()) {
            if (log.term(e.index()) == e.term()) {
                continue;
            }
            if (e.index() <= log.last()) {
                if (e.index() <= commit) {
                    throw new IllegalStateException("entry " + e.index() + " is committed and would change");
                }
                log.cutBehind(e.index() - 1);
                storing.cut(e.index() - 1);
            }
            log.add(e);
            storing.appended.add(e);
            changed = true;
        }
        if (changed) {
            takeMembers();
        }
        matched = a.prevIndex() + a.entries().size();
        commit = Math.max(commit, Math.min(a.commit(), matched));
        promise(from, new RaftMessage.Appended(term, true, matched, a.round(), runs.get(0), standing.sound()));
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
        if (piecesOf != snapshot.covered() || pieces == null) {
            pieces = codec.encode(snapshot);
            piecesOf = snapshot.covered();
        }
        if (p.offsetOf != piecesOf) {
            p.offsetOf = piecesOf;
            p.offset = 0;
        }
        int length = (int) Math.min(PIECE, pieces.length - p.offset);
        byte[] bytes = java.util.Arrays.copyOfRange(pieces, (int) p.offset, (int) p.offset + length);
        p.busyUntil = now + timing.election() / 2;
        send(
                to,
                new RaftMessage.Piece(
                        term, snapshot.covered(), snapshot.term(), p.offset, pieces.length, bytes, round));
    }

    private void piece(String from, RaftMessage.Piece p) {
        if (p.term() < term
                || p.size() > Integer.MAX_VALUE / 2
                || p.offset() < 0
                || p.offset() + p.bytes().length > p.size()) {
            return;
        }
        heard(from);
        if (p.covered() <= commit) {
            promise(from, new RaftMessage.PieceTaken(term, p.covered(), p.size(), p.round()));
            return;
        }
        if (incoming == null || incoming.covered() != p.covered() || incoming.term() != p.term()) {
            incoming = p;
            assembled = new byte[0];
        }
        if (p.offset() == assembled.length) {
            byte[] more = java.util.Arrays.copyOf(assembled, assembled.length + p.bytes().length);
            System.arraycopy(p.bytes(), 0, more, assembled.length, p.bytes().length);
            assembled = more;
        }
        long have = assembled.length;
        if (have == p.size()) {
            Snapshot state = codec.decode(assembled);
            incoming = null;
            assembled = null;
            if (state == null || state.covered() != p.covered() || state.term() != p.coveredTerm()) {
                say("a snapshot of " + from + " cannot be read");
                return;
            }
            install(state);
        }
        promise(from, new RaftMessage.PieceTaken(term, p.covered(), have, p.round()));
    }

    private void install(Snapshot state) {
        boolean follows = log.term(state.covered()) == state.term();
        snapshot = state;
        storing.snapshot = state;
        if (follows) {
            log.compact(state.covered());
        } else {
            log.restart(state.covered(), state.term());
            storing.cut(state.covered());
            storing.restart(state.covered());
        }
        registry.restore(state.state());
        commit = Math.max(commit, state.covered());
        applied = state.covered();
        matched = state.covered();
        takeMembers();
        out.add(new Action.News(registry.active(), registry.pending()));
    }

    private void pieceTaken(String from, RaftMessage.PieceTaken t) {
        ReplicationProgress p = peers.get(from);
        if (role != Role.LEADER || t.term() != term || p == null || t.covered() != p.offsetOf) {
            return;
        }
        p.heardAt = now;
        p.busyUntil = now;
        p.offset = Math.min(t.next(), pieces == null ? 0 : pieces.length);
        if (pieces != null && p.offset >= pieces.length) {
            p.next = Math.max(p.next, t.covered() + 1);
            p.offset = 0;
        } else if (p.next <= log.base()) {
            sendPiece(from, p);
        }
    }

    private void takeSnapshot() {
        snapshot = new Snapshot(applied, log.term(applied), registry.state());
        storing.snapshot = snapshot;
        log.compact(applied - timing.snapshotEvery()); // those who are not far behind need no snapshot
    }

    // ---- What is committed ---------------------------------------------------------------------------

    private void apply() {
        boolean news = false;
        while (applied < commit) {
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
            if (e.command() instanceof Command.Change && role == Role.LEADER) {
                changed();
            }
        }
        if (news) {
            out.add(new Action.News(registry.active(), registry.pending()));
        }
        early.removeIf(g -> {
            if (g.commit() <= applied) {
                g.grants().forEach(grant -> out.add(new Action.Grant(grant)));
            }
            return g.commit() <= applied;
        });
        if (applied - (snapshot == null ? 0 : snapshot.covered()) >= timing.snapshotEvery()) {
            takeSnapshot();
        }
    }

    /** A set of keepers is committed: whoever is not in it need not be sent anything any more. */
    private void changed() {
        peers.keySet().removeIf(n -> members.member(n) == null);
        known.keySet().removeIf(n -> members.member(n) == null);
        if (members.member(name) == null) {
            say("is no keeper any more");
            follow(term, null);
        }
    }

    // ---- Requests ------------------------------------------------------------------------------------

    private void answer(Waiting w, RequestResult outcome) {
        if (w.from() == null) {
            out.add(new Action.Answer(w.token(), outcome));
        } else {
            send(w.from(), new RaftMessage.Forwarded(term, w.token(), outcome));
        }
    }

    private void asked(long token, ClientRequest request) {
        if (role == Role.LEADER) {
            decide(new Waiting(term, null, token), request);
        } else if (leader == null) {
            out.add(new Action.Answer(
                    token,
                    new RequestResult(
                            RequestResult.Kind.NO_LEADER, registry.newest().number(), "no leader is known")));
        } else if (forwarded.size() >= MOST_WAITING) {
            out.add(new Action.Answer(
                    token,
                    new RequestResult(RequestResult.Kind.BUSY, registry.newest().number(), "too many requests wait")));
        } else {
            forwarded.put(token, now + FORWARD_TIME);
            send(leader, new RaftMessage.Forward(term, token, request));
        }
    }

    private void forward(String from, RaftMessage.Forward f) {
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
        if (commit < firstOfTerm) {
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
        RequestResult before = registry.outcome(write.request());
        if (before != null) {
            return before;
        }
        RequestResult stale = registry.check(write.parent());
        if (stale != null) {
            return stale;
        }
        List<String> faults = ConfigSchema.faults(registry.active().content(), write.content());
        if (faults.isEmpty() && ConfigSchema.needs(write.content()) > leases.oldestSchema(now)) {
            return new RequestResult(
                    RequestResult.Kind.BUSY,
                    registry.active().number(),
                    "a balancer knows the schema up to version " + leases.oldestSchema(now) + ", this needs "
                            + ConfigSchema.needs(write.content()));
        }
        return faults.isEmpty()
                ? null
                : new RequestResult(
                        RequestResult.Kind.REFUSED, registry.active().number(), String.join("; ", faults));
    }

    private void change(Waiting w, ClientRequest request) {
        Membership next = null;
        String fault = null;
        if (!rules.mayChange(members, registry.members())) {
            fault = "another change of keepers is not committed yet";
        } else if (request instanceof ClientRequest.Add add) {
            if (members.member(add.member().name()) != null) {
                fault = add.member().name() + " is a keeper already; remove it first";
            } else if (members.voters().size() >= Membership.MOST || members.learner() != null) {
                fault = members.learner() != null
                        ? members.learner().name() + " is still catching up"
                        : Membership.MOST + " keepers at most";
            } else {
                next = members.withLearner(add.member());
            }
        } else if (request instanceof ClientRequest.Remove remove) {
            Member gone = members.member(remove.name());
            if (gone == null || remove.folder() != 0 && remove.folder() != gone.folder()) {
                fault = remove.name() + " with that folder is no keeper";
            } else if (members.voters().size() == 1 && members.voters().containsKey(remove.name())) {
                fault = "the last keeper cannot go";
            } else {
                next = members.without(remove.name());
            }
        }
        if (next == null) {
            answer(
                    w,
                    new RequestResult(
                            RequestResult.Kind.REFUSED, registry.newest().number(), fault));
        } else {
            proposed.put(put(new Command.Change(next)), w);
        }
    }

    // ---- Rounds and leases ---------------------------------------------------------------------------

    /** Does something once a round that begins after now has shown that this keeper still leads. */
    private void whenConfirmed(Runnable then, Runnable otherwise) {
        confirming.add(new Confirming(round + 1, then, otherwise));
    }

    private void confirm() {
        List<Long> echoed = new ArrayList<>();
        members.voters().keySet().forEach(n -> {
            ReplicationProgress p = peers.get(n);
            echoed.add(n.equals(name) ? round : p != null && p.sound ? p.round : 0);
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
                .filter(c -> rules.confirmed(c.round(), confirmed))
                .toList();
        confirming.removeAll(done);
        done.forEach(c -> c.then().run());
    }

    private void leasesAsked(List<LeaseRequest> asks) {
        if (role == Role.LEADER) {
            long askedAt = now;
            whenConfirmed(() -> grants(asks, askedAt).forEach(g -> out.add(new Action.Grant(g))), () -> {});
        } else if (leader != null) {
            send(leader, new RaftMessage.Asks(term, 0, List.copyOf(asks)));
        }
    }

    private List<LeaseResponse> grants(List<LeaseRequest> asks, long askedAt) {
        if (commit < firstOfTerm || applied < commit) {
            return List.of(); // what a leader before may have committed is not known yet
        }
        return asks.stream()
                .map(a -> leases.grant(a, askedAt, registry.active(), registry.pending()))
                .toList();
    }

    /** What only time or others' answers make possible: a version in force, a learner a voter, folders known. */
    private void activate() {
        if (commit < firstOfTerm) {
            return;
        }
        ConfigVersion next = registry.pending();
        if (next != null && leases.allHold(next.number(), now) && !log.activates(next.number(), commit)) {
            put(new Command.Activate(next.number()));
        }
        if (!rules.mayChange(members, registry.members())) {
            return;
        }
        ReplicationProgress learner =
                members.learner() == null ? null : peers.get(members.learner().name());
        if (learner != null && learner.sound && learner.match >= commit && learner.match > 0) {
            put(new Command.Change(members.promoted()));
            return;
        }
        Map<String, Long> folders = new HashMap<>();
        known.forEach((n, k) -> folders.put(n, k.folder()));
        folders.put(name, folder);
        Membership bound = members.bound(folders);
        if (!bound.equals(members) && bound.voters().values().stream().allMatch(m -> m.folder() != 0)) {
            put(new Command.Change(bound));
        }
    }
}
