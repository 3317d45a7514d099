package sedgeyoke.agree;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

/** Rules that are each wrong in one place; here, as they may only be overridden from within the package. */
public final class PlantedRules {
    private PlantedRules() {}

    /** By what is wrong. */
    public static Map<String, Function<Timing, Rules>> all() {
        Map<String, Function<Timing, Rules>> planted = new LinkedHashMap<>();
        elections(planted);
        storage(planted);
        leases(planted);
        documents(planted);
        return planted;
    }

    private static void elections(Map<String, Function<Timing, Rules>> planted) {
        planted.put("half is a majority", t -> new Rules(t) {
            @Override
            int majority(int voters) {
                return voters / 2;
            }
        });
        planted.put("a shorter log may lead", t -> new Rules(t) {
            @Override
            boolean upToDate(long lastIndex, long lastTerm, long ownIndex, long ownTerm) {
                return true;
            }
        });
        planted.put("two votes in a term", t -> new Rules(t) {
            @Override
            boolean mayVoteFor(String candidate, String votedFor) {
                return true;
            }
        });
    }

    private static void storage(Map<String, Function<Timing, Rules>> planted) {
        planted.put("promises do not wait for the disk", t -> new Rules(t) {
            @Override
            boolean promisesWaitForDisk() {
                return false;
            }
        });
    }

    private static void leases(Map<String, Function<Timing, Rules>> planted) {
        planted.put("a lease counts from when the answer came", t -> new Rules(t) {
            @Override
            long mayActUntil(long stamp, long heardAt) {
                return heardAt + t.lease();
            }
        });
        planted.put("a lease never ends", t -> new Rules(t) {
            @Override
            long mayActUntil(long stamp, long heardAt) {
                return Long.MAX_VALUE;
            }
        });
        planted.put("a lease is longer for its holder than for the leader", t -> new Rules(t) {
            @Override
            long heldUntil(long askedAt) {
                return askedAt + t.lease() / 2;
            }
        });
        planted.put("leases of leaders before are forgotten", t -> new Rules(t) {
            @Override
            long predecessorsLeasesEnd(long leadsSince) {
                return leadsSince;
            }
        });
        planted.put("a version takes effect at once", t -> new Rules(t) {
            @Override
            boolean holdsEnough(long holds, long version) {
                return true;
            }
        });
        planted.put("a leader takes itself for one without asking", t -> new Rules(t) {
            @Override
            boolean confirmed(long roundNeeded, long roundShown) {
                return true;
            }
        });
    }

    private static void documents(Map<String, Function<Timing, Rules>> planted) {
        planted.put("an older word is believed", t -> new Rules(t) {
            @Override
            boolean isOld(long active, long known) {
                return false;
            }
        });
        planted.put("the newer version holds before it is in force", t -> new Rules(t) {
            @Override
            Document between(Document active, Document pending) {
                return pending;
            }
        });
        planted.put("alone, the last version goes on", t -> new Rules(t) {
            @Override
            Document alone(Document last) {
                return last;
            }
        });
        planted.put("a write may follow any version", t -> new Rules(t) {
            @Override
            boolean follows(long parent, long newest) {
                return true;
            }
        });
        planted.put("a request that comes again is done again", t -> new Rules(t) {
            @Override
            boolean again(Outcome before) {
                return true;
            }
        });
    }
}
