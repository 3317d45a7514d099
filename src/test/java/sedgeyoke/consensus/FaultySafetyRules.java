package sedgeyoke.consensus;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** Rules that are each wrong in one place; here, as they may only be overridden from within the package. */
public final class FaultySafetyRules {
    private FaultySafetyRules() {}

    /** By what is wrong. */
    public static Map<String, Function<RaftTiming, SafetyRules>> all() {
        Map<String, Function<RaftTiming, SafetyRules>> faulty = new LinkedHashMap<>();
        electionFaults(faulty);
        persistenceFaults(faulty);
        leaseFaults(faulty);
        configFaults(faulty);
        return faulty;
    }

    private static void electionFaults(Map<String, Function<RaftTiming, SafetyRules>> faulty) {
        faulty.put("half is a majority", t -> new SafetyRules(t) {
            @Override
            int majority(int voters) {
                return voters / 2;
            }
        });
        faulty.put("a shorter log may lead", t -> new SafetyRules(t) {
            @Override
            boolean isLogUpToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                return true;
            }
        });
        faulty.put("two votes in a term", t -> new SafetyRules(t) {
            @Override
            boolean mayVoteFor(String candidate, String votedFor) {
                return true;
            }
        });
    }

    private static void persistenceFaults(Map<String, Function<RaftTiming, SafetyRules>> faulty) {
        faulty.put("promises do not wait for the disk", t -> new SafetyRules(t) {
            @Override
            boolean responsesWaitForPersistence() {
                return false;
            }
        });
    }

    private static void leaseFaults(Map<String, Function<RaftTiming, SafetyRules>> faulty) {
        faulty.put("a lease counts from when the answer came", t -> new SafetyRules(t) {
            @Override
            long leaseUsableUntil(long stamp, long heardAt) {
                return heardAt + t.leaseMicros();
            }
        });
        faulty.put("a lease never ends", t -> new SafetyRules(t) {
            @Override
            long leaseUsableUntil(long stamp, long heardAt) {
                return Long.MAX_VALUE;
            }
        });
        faulty.put("a lease is longer for its holder than for the leader", t -> new SafetyRules(t) {
            @Override
            long leaseHeldUntil(long askedAt) {
                return askedAt + t.leaseMicros() / 2;
            }
        });
        faulty.put("leases of leaders before are forgotten", t -> new SafetyRules(t) {
            @Override
            long earlierLeasesEnd(long leadsSince) {
                return leadsSince;
            }
        });
        faulty.put("a version takes effect at once", t -> new SafetyRules(t) {
            @Override
            boolean coversVersion(long holds, long version) {
                return true;
            }
        });
        faulty.put("a leader takes itself for one without asking", t -> new SafetyRules(t) {
            @Override
            boolean isLeadershipConfirmed(long roundNeeded, long roundShown) {
                return true;
            }
        });
    }

    private static void configFaults(Map<String, Function<RaftTiming, SafetyRules>> faulty) {
        faulty.put("an older word is believed", t -> new SafetyRules(t) {
            @Override
            boolean isStale(long active, long known) {
                return false;
            }
        });
        faulty.put("the newer version holds before it is in force", t -> new SafetyRules(t) {
            @Override
            ConfigDocument duringActivation(ConfigDocument active, ConfigDocument pending) {
                return pending;
            }
        });
        faulty.put("alone, the last version goes on", t -> new SafetyRules(t) {
            @Override
            ConfigDocument withoutLease(ConfigDocument last) {
                return last;
            }
        });
        faulty.put("a write may follow any version", t -> new SafetyRules(t) {
            @Override
            boolean mayFollow(long parent, long newest) {
                return true;
            }
        });
        faulty.put("a request that comes again is done again", t -> new SafetyRules(t) {
            @Override
            boolean appliesRequest(RequestResult before) {
                return true;
            }
        });
    }
}
