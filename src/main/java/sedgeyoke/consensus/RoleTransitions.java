package sedgeyoke.consensus;

/** The changes of role that the components of a {@link RaftNode} may initiate. */
interface RoleTransitions {
    /**
     * Becomes a follower, and enters {@code term} if that is newer than the current one.
     *
     * @param leader the leader of that term; null if it is not known
     */
    void becomeFollower(long term, String leader);

    /** Called for each message of the leader of the current term: follows it and restarts the election timeout. */
    void recordLeaderContact(String leader);
}
