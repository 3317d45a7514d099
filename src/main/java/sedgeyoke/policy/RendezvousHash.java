package sedgeyoke.policy;

import java.util.SplittableRandom;

/**
 * Rendezvous (highest random weight) hashing: each key goes to the candidate with the highest score. A candidate
 * that comes or goes moves only its own keys.
 */
final class RendezvousHash {
    private RendezvousHash() {}

    /** The score of a candidate for a key; candidates win keys in proportion to their weights. */
    static double score(double weight, int keyHash, int candidateHash) {
        return -weight / StrictMath.log(unit(keyHash, candidateHash));
    }

    /** A number above 0 and at most 1 that is the same for the same pair of hashes. */
    static double unit(int first, int second) {
        return new SplittableRandom(((long) first << 32) ^ second).nextDouble() + 0x1.0p-53;
    }
}
