package sedgeyoke.link;

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
import sedgeyoke.agree.Command;
import sedgeyoke.agree.Document;
import sedgeyoke.agree.Entry;
import sedgeyoke.agree.LeaseAsk;
import sedgeyoke.agree.LeaseGrant;
import sedgeyoke.agree.Member;
import sedgeyoke.agree.Members;
import sedgeyoke.agree.Message;
import sedgeyoke.agree.Outcome;
import sedgeyoke.agree.Registry;
import sedgeyoke.agree.Request;
import sedgeyoke.agree.Schema;
import sedgeyoke.agree.SnapshotState;
import sedgeyoke.agree.Version;
import sedgeyoke.link.proto.KeeperMessage;

/** What keepers say comes back as it was said; what is no message of theirs is told and harms nothing. */
class AgreeCodecTest {
    private static final Document CONTENT = Document.EMPTY
            .with(Schema.UPSTREAMS_OUT, Map.of("n1", "why", "n2", ""))
            .with(Schema.RETRIES, 0.25)
            .withTable(Schema.TENANT_SHARES, Map.of("acme", 0.5));
    private static final Command.Write WRITE = new Command.Write("r1", 4, "op", "why", 77, CONTENT);
    private static final Members MEMBERS = Members.of(List.of(new Member("a", 1, "x:1"), new Member("b", 2, "x:2")));
    private static final List<Entry> ENTRIES = List.of(
            new Entry(8, 2, WRITE),
            new Entry(9, 3, new Command.Nothing()),
            new Entry(10, 3, new Command.Activate(5)),
            new Entry(11, 3, new Command.Change(new Members(MEMBERS.voters(), new Member("c", 3, "x:3")))));

    private static List<Message> messages() {
        Outcome outcome = new Outcome(Outcome.Kind.BUSY, 5, "later");
        return List.of(
                new Message.PreVote(3, 9, 2),
                new Message.PreVoted(3, true, false),
                new Message.Vote(3, 9, 2, true),
                new Message.Voted(3, true, true),
                new Message.Append(3, 7, 2, ENTRIES, 6, 12),
                new Message.Appended(3, true, 11, 12, 99, true),
                new Message.PieceTaken(3, 6, 512, 12),
                new Message.StandNow(3),
                new Message.Recall(3, List.of(9L, 8L), 4),
                new Message.Recalled(3, 4, true, true, false, true, 11, 8),
                new Message.NotAMember(3, "why"),
                new Message.Forward(3, 1, new Request.Set(WRITE)),
                new Message.Forward(3, 1, new Request.Read()),
                new Message.Forward(3, 1, new Request.Add(new Member("c", 3, "x:3"))),
                new Message.Forward(3, 1, new Request.Remove("c", 3)),
                new Message.Forwarded(3, 1, outcome),
                new Message.Asks(3, 2, List.of(new LeaseAsk("b1", 5, -6, 4, 1))),
                new Message.Grants(3, 2, 6, List.of(new LeaseGrant("b1", 5, -6, 4, 5, true))));
    }

    @Test
    void whatIsSaidComesBackAsItWas() throws Exception {
        for (Message m : messages()) {
            KeeperMessage sent = KeeperMessage.parseFrom(AgreeCodec.of(7, m).toByteArray());
            assertEquals(m, AgreeCodec.message(sent));
            assertEquals(7, sent.getFolder());
        }
        Message.Piece piece = new Message.Piece(3, 6, 2, 512, 2_000, new byte[] {1, 2}, 12);
        Message.Piece back = (Message.Piece) AgreeCodec.message(AgreeCodec.of(7, piece));
        assertArrayEquals(piece.bytes(), back.bytes());
    }

    @Test
    void aStateComesBackAndHasTheSameBytes() {
        Map<String, Outcome> requests = new LinkedHashMap<>();
        requests.put("z", new Outcome(Outcome.Kind.DONE, 4, ""));
        requests.put("a", new Outcome(Outcome.Kind.CONFLICT, 4, "no"));
        Version active = new Version(4, 3, "op", "", 1, CONTENT);
        SnapshotState state = new SnapshotState(
                11,
                3,
                new Registry.State(
                        MEMBERS,
                        active,
                        new Version(5, 4, "op", "x", 2, Document.EMPTY),
                        List.of(Version.NONE),
                        requests));
        AgreeCodec codec = new AgreeCodec();
        byte[] bytes = codec.encode(state);
        assertEquals(state, codec.decode(bytes));
        assertArrayEquals(bytes, codec.encode(codec.decode(bytes)));
        assertNull(codec.decode(new byte[] {(byte) 0xff, 1, 2}));
    }

    @Test
    void whatMakesNoSenseIsTold() {
        List<Message> bad = List.of(
                new Message.Append(3, 7, 2, List.of(ENTRIES.get(1)), 6, 12),
                new Message.Append(2, 7, 2, List.of(new Entry(8, 9, new Command.Nothing())), 6, 12),
                new Message.Recall(3, List.of(), 1),
                new Message.Vote(-1, 0, 0, false));
        for (Message m : bad) {
            assertThrows(Messages.Implausible.class, () -> AgreeCodec.message(AgreeCodec.of(7, m)), m.toString());
        }
        assertThrows(Messages.Implausible.class, () -> AgreeCodec.message(KeeperMessage.getDefaultInstance()));
    }

    /** Bytes that were flipped or cut are no message, or another one; nothing else is thrown. */
    @Test
    void spoiltBytesThrowNothingElse() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            List<Message> all = messages();
            byte[] bytes = AgreeCodec.of(7, all.get(random.nextInt(all.size()))).toByteArray();
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            byte[] cut = java.util.Arrays.copyOf(
                    bytes, random.nextInt(3) == 0 ? random.nextInt(bytes.length) : bytes.length);
            try {
                AgreeCodec.message(KeeperMessage.parseFrom(cut));
            } catch (InvalidProtocolBufferException | Messages.Implausible e) {
                continue; // told
            }
        }
    }
}
