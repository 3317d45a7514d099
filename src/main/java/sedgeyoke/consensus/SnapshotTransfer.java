package sedgeyoke.consensus;

import java.util.Arrays;

/**
 * Takes snapshots of the state machine, and transfers them in chunks to replicas that need entries which the leader's
 * log no longer has (Raft thesis, chapter 5).
 */
final class SnapshotTransfer {
    private static final int CHUNK_BYTES = 32 * 1024;
    private static final long MAX_TOTAL_BYTES = Integer.MAX_VALUE / 2;
    private static final byte[] NO_BYTES = {};

    private final ReplicaState state;
    private final Outbox outbox;
    private final PersistenceQueue persistence;
    private final RoleTransitions roles;
    private final SnapshotCodec codec;

    /** The encoded snapshot that is being sent; null if none is. */
    private byte[] outgoing;

    private long outgoingIndex = ReplicaState.UNKNOWN_INDEX;
    /** The first chunk of the snapshot that is being received; null if none is. */
    private RaftMessage.InstallSnapshotChunk incoming;
    /** The bytes of the incoming snapshot that have been received so far. */
    private byte[] received = NO_BYTES;

    SnapshotTransfer(
            ReplicaState state,
            Outbox outbox,
            PersistenceQueue persistence,
            RoleTransitions roles,
            SnapshotCodec codec) {
        this.state = state;
        this.outbox = outbox;
        this.persistence = persistence;
        this.roles = roles;
        this.codec = codec;
    }

    /** Takes a snapshot and compacts the log, if enough entries were applied since the latest snapshot. */
    void takeSnapshotIfDue() {
        if (state.lastApplied - state.snapshotIndex() < state.timing.snapshotInterval()) {
            return;
        }
        state.snapshot =
                new Snapshot(state.lastApplied, state.log.term(state.lastApplied), state.stateMachine.snapshotState());
        persistence.save(state.snapshot);
        // some entries stay, so that replicas that are not far behind need no snapshot
        state.log.compactThrough(state.lastApplied - state.timing.snapshotInterval());
    }

    // ---- Sending -------------------------------------------------------------------------------------

    /** Sends the next chunk of the latest snapshot. */
    void sendChunk(String to, ReplicationProgress progress, long round) {
        Snapshot snapshot = state.snapshot;
        if (outgoingIndex != snapshot.lastIncludedIndex() || outgoing == null) {
            outgoing = codec.encode(snapshot);
            outgoingIndex = snapshot.lastIncludedIndex();
        }
        if (progress.snapshotIndex != outgoingIndex) {
            progress.snapshotIndex = outgoingIndex;
            progress.snapshotOffset = 0;
        }
        int from = (int) progress.snapshotOffset;
        byte[] chunk = Arrays.copyOfRange(outgoing, from, Math.min(from + CHUNK_BYTES, outgoing.length));
        progress.inFlightUntilMicros = state.nowMicros + state.timing.electionTimeoutMicros() / 2;
        outbox.send(
                to,
                new RaftMessage.InstallSnapshotChunk(
                        state.term,
                        snapshot.lastIncludedIndex(),
                        snapshot.lastIncludedTerm(),
                        progress.snapshotOffset,
                        outgoing.length,
                        chunk,
                        round));
    }

    /** Records an acknowledgement; returns whether the replica has the complete snapshot. */
    boolean acknowledge(ReplicationProgress progress, RaftMessage.SnapshotChunkAck ack) {
        progress.snapshotOffset = Math.min(ack.nextOffset(), outgoing == null ? 0 : outgoing.length);
        if (outgoing == null || progress.snapshotOffset < outgoing.length) {
            return false;
        }
        progress.nextIndex = Math.max(progress.nextIndex, ack.lastIncludedIndex() + 1);
        progress.snapshotOffset = 0;
        return true;
    }

    /** Called when this replica ceases to be the leader: releases the encoded snapshot. */
    void stopSending() {
        outgoing = null;
    }

    // ---- Receiving -----------------------------------------------------------------------------------

    void handle(String from, RaftMessage.InstallSnapshotChunk chunk) {
        if (chunk.term() < state.term || !isWellFormed(chunk)) {
            return;
        }
        roles.recordLeaderContact(from);
        if (chunk.lastIncludedIndex() <= state.commitIndex) {
            acknowledge(from, chunk, chunk.totalSize());
            return;
        }
        assemble(chunk);
        long nextOffset = received.length;
        if (nextOffset == chunk.totalSize()) {
            Snapshot snapshot = codec.decode(received);
            incoming = null;
            received = NO_BYTES;
            if (!matches(snapshot, chunk)) {
                outbox.log("rejects the snapshot from " + from + ": it is corrupt or not the one that its chunks name");
                return;
            }
            install(snapshot);
        }
        acknowledge(from, chunk, nextOffset);
    }

    private static boolean isWellFormed(RaftMessage.InstallSnapshotChunk chunk) {
        return chunk.totalSize() <= MAX_TOTAL_BYTES
                && chunk.offset() >= 0
                && chunk.offset() + chunk.data().length <= chunk.totalSize();
    }

    private static boolean matches(Snapshot snapshot, RaftMessage.InstallSnapshotChunk chunk) {
        return snapshot != null
                && snapshot.lastIncludedIndex() == chunk.lastIncludedIndex()
                && snapshot.lastIncludedTerm() == chunk.lastIncludedTerm();
    }

    private void assemble(RaftMessage.InstallSnapshotChunk chunk) {
        boolean continued = incoming != null
                && incoming.lastIncludedIndex() == chunk.lastIncludedIndex()
                && incoming.term() == chunk.term();
        if (!continued) {
            incoming = chunk;
            received = NO_BYTES;
        }
        if (chunk.offset() == received.length) {
            byte[] extended = Arrays.copyOf(received, received.length + chunk.data().length);
            System.arraycopy(chunk.data(), 0, extended, received.length, chunk.data().length);
            received = extended;
        }
    }

    private void acknowledge(String to, RaftMessage.InstallSnapshotChunk chunk, long nextOffset) {
        persistence.sendWhenPersisted(
                to, new RaftMessage.SnapshotChunkAck(state.term, chunk.lastIncludedIndex(), nextOffset, chunk.round()));
    }

    private void install(Snapshot snapshot) {
        long index = snapshot.lastIncludedIndex();
        boolean logContinuesSnapshot = state.log.term(index) == snapshot.lastIncludedTerm();
        state.snapshot = snapshot;
        persistence.save(snapshot);
        if (logContinuesSnapshot) {
            state.log.compactThrough(index);
        } else {
            state.log.resetTo(index, snapshot.lastIncludedTerm());
            persistence.truncateAfter(index);
            persistence.restartLogAfter(index);
        }
        state.stateMachine.restore(snapshot.state());
        state.commitIndex = Math.max(state.commitIndex, index);
        state.lastApplied = index;
        state.leaderMatchIndex = index;
        state.updateMembership();
        outbox.add(new Action.ConfigChanged(state.stateMachine.active(), state.stateMachine.pending()));
    }
}
