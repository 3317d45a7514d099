package sedgeyoke.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import sedgeyoke.lease.ClockDrift;

/**
 * Histories written for rules whose breach is too rare for seeds: each holds with the rule as it is, and fails with a
 * mistake in its place.
 */
class RaftNodeRulesTest {
    private static final RaftTiming TIMING = new RaftTiming(600_000, 100_000, 1_500_000, new ClockDrift(1_000), 1_000);
    private static final long FOLDER = 7;

    /** One keeper of three, whose messages go nowhere and whose disk is quick. */
    private static final class Alone {
        final RaftNode keeper;
        final List<Action> out = new ArrayList<>();
        long now = 10_000_000;

        Alone(Function<RaftTiming, SafetyRules> rules, String doubt, long term, long... terms) {
            List<LogEntry> entries = new ArrayList<>();
            for (int i = 0; i < terms.length; i++) {
                entries.add(new LogEntry(i + 1, terms[i], new Command.NoOp()));
            }
            HardState slot = new HardState(
                    term,
                    "",
                    List.of(4L),
                    new HashMap<>(
                            Map.of("b", new HardState.KnownPeer(FOLDER, 5L), "c", new HardState.KnownPeer(FOLDER, 6L))),
                    doubt == null);
            keeper = new RaftNode(
                    new RaftNode.Identity("a", FOLDER, 9),
                    rules.apply(TIMING),
                    new RaftNode.StoredState(slot, null, entries, doubt, doubt != null),
                    Membership.of(List.of(
                            new Member("a", FOLDER, "a"), new Member("b", FOLDER, "b"), new Member("c", FOLDER, "c"))),
                    new NoCodec(),
                    new SplittableRandom(1),
                    now);
        }

        void on(Event event) {
            List<Action> actions = keeper.handle(event, now);
            out.addAll(actions);
            for (Action a : actions) {
                if (a instanceof Action.Persist p) {
                    on(new Event.Persisted(p.token()));
                }
            }
        }

        void hears(String from, RaftMessage message) {
            on(new Event.Received(from, FOLDER, message));
        }

        void passes(long time) {
            now += time;
            on(new Event.Tick());
        }

        /** The number under which it asked what others know. */
        long asked() {
            on(new Event.Tick());
            return said(RaftMessage.RecoveryQuery.class).stream()
                    .mapToLong(RaftMessage.RecoveryQuery::queryId)
                    .reduce((x, y) -> y)
                    .orElseThrow();
        }

        void becomesSound() {
            hears("b", new RaftMessage.RecoveryReply(keeper.term(), asked(), false, true, false, false, 0, 0));
            assertTrue(keeper.isRecovered());
        }

        void leads() {
            becomesSound();
            passes(2 * TIMING.electionTimeoutMicros());
            hears("b", new RaftMessage.PreVoteResponse(keeper.term(), true, true));
            hears("b", new RaftMessage.VoteResponse(keeper.term(), true, true));
            assertEquals(RaftNode.Role.LEADER, keeper.role());
        }

        void acknowledges(String from, boolean sound) {
            long run = from.equals("b") ? 5 : 6;
            hears(
                    from,
                    new RaftMessage.AppendEntriesResponse(keeper.term(), true, keeper.lastIndex(), 100, run, sound));
        }

        <T extends RaftMessage> List<T> said(Class<T> kind) {
            return out.stream()
                    .filter(Action.Send.class::isInstance)
                    .map(a -> ((Action.Send) a).message())
                    .filter(kind::isInstance)
                    .map(kind::cast)
                    .toList();
        }

        List<RequestResult> answers() {
            return out.stream()
                    .filter(Action.Respond.class::isInstance)
                    .map(a -> ((Action.Respond) a).result())
                    .toList();
        }
    }

    private static final class NoCodec implements SnapshotCodec {
        @Override
        public byte[] encode(Snapshot state) {
            throw new AssertionError("no snapshot is sent");
        }

        @Override
        public Snapshot decode(byte[] bytes) {
            throw new AssertionError("no snapshot comes");
        }
    }

    /** A history and whether the rule is kept in it. */
    private record History(
            Predicate<Function<RaftTiming, SafetyRules>> kept, Function<RaftTiming, SafetyRules> planted) {}

    private static boolean refusesAnOlderLongerLog(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 2, 1, 2);
        a.becomesSound();
        a.hears("c", new RaftMessage.RequestVote(3, 5, 1, false));
        return !a.said(RaftMessage.VoteResponse.class).get(0).granted();
    }

    private static boolean changesOneAtATime(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.leads();
        a.acknowledges("b", true);
        a.on(new Event.RequestReceived(1, new ClientRequest.AddMember(new Member("d", 8, "d"))));
        a.on(new Event.RequestReceived(2, new ClientRequest.RemoveMember("c", 0)));
        return a.answers().stream().anyMatch(o -> o.kind() == RequestResult.Kind.REFUSED);
    }

    private static boolean countsOnlySoundOnes(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.leads();
        a.acknowledges("b", false);
        return a.keeper.commitIndex() == 0;
    }

    private static boolean waitsForTheLeadersLog(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, "a part is gone", 1, 1);
        a.passes(4 * TIMING.electionTimeoutMicros());
        a.hears("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 1));
        for (int i = 0; i < 2; i++) { // the second answer is to what was asked after the leader was known
            long asked = a.asked();
            a.hears("b", new RaftMessage.RecoveryReply(2, asked, false, true, false, true, 9, 0));
            a.hears("c", new RaftMessage.RecoveryReply(2, asked, false, true, false, false, 9, 0));
            a.hears("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 2));
        }
        return !a.keeper.isRecovered();
    }

    private static boolean remembersRuns(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.becomesSound();
        a.hears("c", new RaftMessage.RecoveryQuery(1, List.of(99L, 3L), 1));
        return a.said(RaftMessage.RecoveryReply.class).get(0).outdated();
    }

    private static boolean knowsFolders(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.becomesSound();
        a.on(new Event.Received("c", FOLDER + 1, new RaftMessage.RequestVote(2, 5, 1, false)));
        return a.said(RaftMessage.VoteResponse.class).isEmpty();
    }

    private static boolean commitsOnlyItsOwnTerm(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 3, 1, 2);
        a.leads();
        long run = 5;
        a.hears(
                "b",
                new RaftMessage.AppendEntriesResponse(a.keeper.term(), true, 2, 1, run, true)); // not yet its own entry
        return a.keeper.commitIndex() == 0;
    }

    private static boolean countsNoOldRun(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.leads();
        a.hears("b", new RaftMessage.RecoveryQuery(a.keeper.term(), List.of(50L, 5L), 1));
        a.acknowledges("b", true); // from the run before
        return a.keeper.commitIndex() == 0;
    }

    private static boolean countsNoLateVote(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, null, 1, 1);
        a.becomesSound();
        a.passes(2 * TIMING.electionTimeoutMicros());
        a.hears("b", new RaftMessage.PreVoteResponse(a.keeper.term(), true, true));
        a.now += TIMING.electionTimeoutMicros() + 1;
        a.hears("b", new RaftMessage.VoteResponse(a.keeper.term(), true, true));
        return a.keeper.role() != RaftNode.Role.LEADER;
    }

    private static boolean forgetsNoVote(Function<RaftTiming, SafetyRules> rules) {
        Alone a = new Alone(rules, "a part is gone", 1, 1);
        a.passes(4 * TIMING.electionTimeoutMicros());
        long asked = a.asked();
        a.hears("b", new RaftMessage.RecoveryReply(2, asked, false, true, false, true, 1, 0));
        a.hears("c", new RaftMessage.RecoveryReply(2, asked, false, true, false, false, 1, 0));
        a.hears("b", new RaftMessage.AppendEntries(2, 1, 1, List.of(), 0, 1));
        a.hears("b", new RaftMessage.RecoveryReply(2, a.asked(), false, true, false, true, 1, 0));
        assertTrue(a.keeper.isRecovered(), "it has all");
        a.passes(2 * TIMING.electionTimeoutMicros());
        a.hears("c", new RaftMessage.RequestVote(2, 9, 9, false));
        return a.said(RaftMessage.VoteResponse.class).stream().noneMatch(RaftMessage.VoteResponse::granted);
    }

    static Stream<Arguments> histories() {
        Map<String, History> all = new LinkedHashMap<>();
        all.put(
                "logs are compared by length alone",
                new History(RaftNodeRulesTest::refusesAnOlderLongerLog, t -> new SafetyRules(t) {
                    @Override
                    boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                        return lastIndex >= ownIndex;
                    }
                }));
        all.put(
                "two keepers change at a time",
                new History(RaftNodeRulesTest::changesOneAtATime, t -> new SafetyRules(t) {
                    @Override
                    boolean mayChangeMembership(Membership inLog, Membership committed) {
                        return true;
                    }
                }));
        all.put(
                "whoever may have lost something counts",
                new History(RaftNodeRulesTest::countsOnlySoundOnes, t -> new SafetyRules(t) {
                    @Override
                    boolean countsTowardsQuorum(boolean sound) {
                        return true;
                    }
                }));
        all.put(
                "in doubt, any log will do",
                new History(RaftNodeRulesTest::waitsForTheLeadersLog, t -> new SafetyRules(t) {
                    @Override
                    long recoveryTarget(long leadersLast) {
                        return 0;
                    }
                }));
        all.put(
                "nobody remembers what a keeper has said",
                new History(RaftNodeRulesTest::remembersRuns, t -> new SafetyRules(t) {
                    @Override
                    boolean isOutdatedReplica(long knownRun, List<Long> runs, long heardTerm, long term) {
                        return false;
                    }
                }));
        all.put(
                "another folder is taken for the one before",
                new History(RaftNodeRulesTest::knowsFolders, t -> new SafetyRules(t) {
                    @Override
                    boolean isSameStorage(long known, long said) {
                        return true;
                    }
                }));
        more(all);
        return all.entrySet().stream()
                .map(e -> Arguments.of(
                        e.getKey(), e.getValue().kept(), e.getValue().planted()));
    }

    private static void more(Map<String, History> all) {
        all.put(
                "entries of earlier terms are committed by counting",
                new History(RaftNodeRulesTest::commitsOnlyItsOwnTerm, t -> new SafetyRules(t) {
                    @Override
                    boolean mayCommitEntry(long entryTerm, long term) {
                        return true;
                    }
                }));
        all.put(
                "what a run before has acknowledged counts",
                new History(RaftNodeRulesTest::countsNoOldRun, t -> new SafetyRules(t) {
                    @Override
                    boolean isSameIncarnation(long known, long said) {
                        return true;
                    }
                }));
        all.put("votes count for ever", new History(RaftNodeRulesTest::countsNoLateVote, t -> new SafetyRules(t) {
            @Override
            boolean votesAreValid(long now, long stoodAt) {
                return true;
            }
        }));
        all.put(
                "a vote that may be lost was none",
                new History(RaftNodeRulesTest::forgetsNoVote, t -> new SafetyRules(t) {
                    @Override
                    String voteAfterRecovery() {
                        return "";
                    }
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("histories")
    void theRuleHoldsAndThePlantedMistakeIsFound(
            String what, Predicate<Function<RaftTiming, SafetyRules>> kept, Function<RaftTiming, SafetyRules> planted) {
        assertTrue(kept.test(SafetyRules::new), "kept");
        assertFalse(kept.test(planted), "found");
    }

    /** Also where its own term is the highest of all: what it did in that term may be what was lost. */
    @Test
    void aVoteInItsOwnHighestTermIsNotKnownEither() {
        Alone a = new Alone(SafetyRules::new, "a part is gone", 5, 1);
        a.passes(4 * TIMING.electionTimeoutMicros());
        long asked = a.asked();
        a.hears("b", new RaftMessage.RecoveryReply(2, asked, false, true, false, false, 1, 0));
        a.hears("c", new RaftMessage.RecoveryReply(2, asked, false, true, false, false, 1, 0));
        a.hears("b", new RaftMessage.AppendEntries(5, 1, 1, List.of(), 0, 1));
        a.hears("b", new RaftMessage.RecoveryReply(5, a.asked(), false, true, false, true, 1, 0));
        assertTrue(a.keeper.isRecovered(), "it has all");
        a.passes(2 * TIMING.electionTimeoutMicros());
        a.hears("c", new RaftMessage.RequestVote(5, 9, 9, false));
        assertTrue(a.said(RaftMessage.VoteResponse.class).stream().noneMatch(RaftMessage.VoteResponse::granted));
    }

    /** A balancer that is started again and again leaves nothing behind that others would be refused for. */
    @Test
    void processesThatAreOverMakeRoomForOthers() {
        LeaseTable leases = new LeaseTable(new SafetyRules(TIMING), 0);
        long now = 0;
        for (long run = 0; run < 3 * LeaseTable.MAX_HOLDERS; run++) {
            now += TIMING.leaseMicros() / 100;
            assertTrue(leases.grant(new LeaseRequest("b", run, 0, 0, 1), now, ConfigVersion.NONE, null)
                    .granted());
        }
        assertTrue(leases.holderCount(now) <= 102, "hold one: " + leases.holderCount(now));
        for (long run = 0; run < LeaseTable.MAX_HOLDERS; run++) {
            leases.grant(new LeaseRequest("c", run, 0, 0, 1), now, ConfigVersion.NONE, null);
        }
        assertFalse(
                leases.grant(new LeaseRequest("d", 1, 0, 0, 1), now, ConfigVersion.NONE, null)
                        .granted(),
                "there is a bound");
    }

    /** A floor that was agreed once may only get looser: a balancer that is alone goes by the old one. */
    @Test
    void floorsMayOnlyBeLoosened() {
        ConfigDocument before =
                ConfigDocument.EMPTY.with(ConfigSchema.RETRIES_ALONE, 0.1).with(ConfigSchema.BALANCERS_ALONE, 50);
        assertEquals(
                List.of(),
                ConfigSchema.violations(
                        before, before.with(ConfigSchema.RETRIES_ALONE, 0.2).with(ConfigSchema.BALANCERS_ALONE, 40)));
        assertEquals(
                1,
                ConfigSchema.violations(before, before.with(ConfigSchema.RETRIES_ALONE, 0.05))
                        .size());
        assertEquals(
                1,
                ConfigSchema.violations(before, before.with(ConfigSchema.BALANCERS_ALONE, 60))
                        .size());
    }

    @Test
    void whatIsWrongWithADocumentIsToldByKey() {
        ConfigDocument bad = new ConfigDocument(
                Map.of("retries", 2.0, "nonesuch", 1.0),
                Map.of("upstreams_out", Map.of("x", 1.0)),
                Map.of("zones_out", Map.of("", "note")));
        List<String> faults = ConfigSchema.violations(ConfigDocument.EMPTY, bad);
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("retries: 2.0")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("nonesuch: no such key")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("upstreams_out: ")), faults.toString());
        assertTrue(faults.stream().anyMatch(f -> f.startsWith("zones_out.")), faults.toString());
    }

    /** The meet breaks neither version, whichever fields they have. */
    @Test
    void theMeetContradictsNeither() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2_000; i++) {
            ConfigDocument a = draw(random);
            ConfigDocument b = draw(random);
            assertEquals(List.of(), ConfigSchema.contradictions(ConfigSchema.merge(a, b), a));
            assertEquals(
                    List.of(),
                    ConfigSchema.contradictions(ConfigSchema.merge(a, b), b).stream()
                            .filter(f -> !f.equals("planners"))
                            .toList());
            assertEquals(
                    ConfigSchema.merge(a, b).numbers(), ConfigSchema.merge(b, a).numbers());
            assertEquals(List.of(), ConfigSchema.contradictions(ConfigSchema.withoutLease(a), a));
        }
    }

    private static ConfigDocument draw(SplittableRandom random) {
        ConfigDocument d = ConfigDocument.EMPTY;
        for (ConfigField f : ConfigSchema.FIELDS) {
            if (random.nextBoolean()) {
                continue;
            } else if (f.kind() == ConfigField.Kind.NUMBER) {
                d = d.with(f, f.min() + random.nextDouble() * (f.max() - f.min()));
            } else if (f.kind() == ConfigField.Kind.NAMES) {
                d = d.with(f, random.nextBoolean() ? Map.of("x", "1") : Map.of("x", "2", "y", ""));
            } else {
                d = d.withTable(f, random.nextBoolean() ? Map.of("t", random.nextDouble()) : Map.of("u", 0.5));
            }
        }
        return d;
    }
}
