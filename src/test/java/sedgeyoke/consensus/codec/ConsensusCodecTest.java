package sedgeyoke.consensus.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.ConfigStateMachine;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.Snapshot;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.KeeperMessage;

/** What keepers say comes back as it was said; what is no message of theirs is told and harms nothing. */
class ConsensusCodecTest {
    private static final ConfigDocument CONTENT = ConfigDocument.EMPTY
            .with(ConfigSchema.DISABLED_UPSTREAMS, Map.of("n1", "why", "n2", ""))
            .with(ConfigSchema.RETRY_RATIO, 0.25)
            .withTable(ConfigSchema.TENANT_QUOTAS, Map.of("acme", 0.5));
    private static final Command.Write WRITE = new Command.Write("r1", 4, "op", "why", 77, CONTENT);
    private static final Membership MEMBERS =
            Membership.of(List.of(new Member("a", 1, "x:1"), new Member("b", 2, "x:2")));
    private static final List<LogEntry> ENTRIES = List.of(
            new LogEntry(8, 2, WRITE),
            new LogEntry(9, 3, new Command.NoOp()),
            new LogEntry(10, 3, new Command.Activate(5)),
            new LogEntry(
                    11, 3, new Command.ChangeMembership(new Membership(MEMBERS.voters(), new Member("c", 3, "x:3")))));

    private static List<RaftMessage> messages() {
        RequestResult outcome = new RequestResult(RequestResult.Kind.BUSY, 5, "later");
        return List.of(
                new RaftMessage.RequestPreVote(3, 9, 2),
                new RaftMessage.PreVoteResponse(3, true, false),
                new RaftMessage.RequestVote(3, 9, 2, true),
                new RaftMessage.VoteResponse(3, true, true),
                new RaftMessage.AppendEntries(3, 7, 2, ENTRIES, 6, 12),
                new RaftMessage.AppendEntriesResponse(3, true, 11, 12, 99, true),
                new RaftMessage.SnapshotChunkAck(3, 6, 512, 12),
                new RaftMessage.TimeoutNow(3),
                new RaftMessage.RecoveryQuery(3, List.of(9L, 8L), 4),
                new RaftMessage.RecoveryReply(3, 4, true, true, false, true, 11, 8),
                new RaftMessage.NotAMember(3, "why"),
                new RaftMessage.ForwardedRequest(3, 1, new ClientRequest.Set(WRITE)),
                new RaftMessage.ForwardedRequest(3, 1, new ClientRequest.Read()),
                new RaftMessage.ForwardedRequest(3, 1, new ClientRequest.AddMember(new Member("c", 3, "x:3"))),
                new RaftMessage.ForwardedRequest(3, 1, new ClientRequest.RemoveMember("c", 3)),
                new RaftMessage.ForwardedResponse(3, 1, outcome),
                new RaftMessage.LeaseRequests(3, 2, List.of(new LeaseRequest("b1", 5, -6, 4, 1))),
                new RaftMessage.LeaseResponses(3, 2, 6, List.of(new LeaseResponse("b1", 5, -6, 4, 5, true))));
    }

    @Test
    void whatIsSaidComesBackAsItWas() throws Exception {
        for (RaftMessage m : messages()) {
            KeeperMessage sent = KeeperMessage.parseFrom(ConsensusCodec.of(7, m).toByteArray());
            assertEquals(m, ConsensusCodec.message(sent));
            assertEquals(7, sent.getFolder());
        }
        RaftMessage.InstallSnapshotChunk piece =
                new RaftMessage.InstallSnapshotChunk(3, 6, 2, 512, 2_000, new byte[] {1, 2}, 12);
        RaftMessage.InstallSnapshotChunk back =
                (RaftMessage.InstallSnapshotChunk) ConsensusCodec.message(ConsensusCodec.of(7, piece));
        assertArrayEquals(piece.data(), back.data());
    }

    @Test
    void aStateComesBackAndHasTheSameBytes() {
        Map<String, RequestResult> requests = new LinkedHashMap<>();
        requests.put("z", new RequestResult(RequestResult.Kind.DONE, 4, ""));
        requests.put("a", new RequestResult(RequestResult.Kind.CONFLICT, 4, "no"));
        ConfigVersion active = new ConfigVersion(4, 3, "op", "", 1, CONTENT);
        Snapshot state = new Snapshot(
                11,
                3,
                new ConfigStateMachine.State(
                        MEMBERS,
                        active,
                        new ConfigVersion(5, 4, "op", "x", 2, ConfigDocument.EMPTY),
                        List.of(ConfigVersion.NONE),
                        requests));
        ConsensusCodec codec = new ConsensusCodec();
        byte[] bytes = codec.encode(state);
        assertEquals(state, codec.decode(bytes));
        assertArrayEquals(bytes, codec.encode(codec.decode(bytes)));
        assertNull(codec.decode(new byte[] {(byte) 0xff, 1, 2}));
    }

    @Test
    void whatMakesNoSenseIsTold() {
        List<RaftMessage> bad = List.of(
                new RaftMessage.AppendEntries(3, 7, 2, List.of(ENTRIES.get(1)), 6, 12),
                new RaftMessage.AppendEntries(2, 7, 2, List.of(new LogEntry(8, 9, new Command.NoOp())), 6, 12),
                new RaftMessage.RecoveryQuery(3, List.of(), 1),
                new RaftMessage.RequestVote(-1, 0, 0, false));
        for (RaftMessage m : bad) {
            assertThrows(
                    InvalidMessageException.class, () -> ConsensusCodec.message(ConsensusCodec.of(7, m)), m.toString());
        }
        assertThrows(InvalidMessageException.class, () -> ConsensusCodec.message(KeeperMessage.getDefaultInstance()));
    }

    /** Bytes that were flipped or cut are no message, or another one; nothing else is thrown. */
    @Test
    void spoiltBytesThrowNothingElse() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            List<RaftMessage> all = messages();
            byte[] bytes =
                    ConsensusCodec.of(7, all.get(random.nextInt(all.size()))).toByteArray();
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            byte[] cut = java.util.Arrays.copyOf(
                    bytes, random.nextInt(3) == 0 ? random.nextInt(bytes.length) : bytes.length);
            try {
                ConsensusCodec.message(KeeperMessage.parseFrom(cut));
            } catch (InvalidProtocolBufferException | InvalidMessageException e) {
                continue; // told
            }
        }
    }
}
