package sedgeyoke.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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
import sedgeyoke.agree.SnapshotState;
import sedgeyoke.agree.StateCodec;
import sedgeyoke.agree.Version;
import sedgeyoke.link.proto.AppendMessage;
import sedgeyoke.link.proto.AppendedMessage;
import sedgeyoke.link.proto.AskMessage;
import sedgeyoke.link.proto.AsksMessage;
import sedgeyoke.link.proto.DocumentMessage;
import sedgeyoke.link.proto.EntryMessage;
import sedgeyoke.link.proto.ForwardMessage;
import sedgeyoke.link.proto.ForwardedMessage;
import sedgeyoke.link.proto.GrantMessage;
import sedgeyoke.link.proto.Granted;
import sedgeyoke.link.proto.GrantsMessage;
import sedgeyoke.link.proto.KeeperMessage;
import sedgeyoke.link.proto.MemberMessage;
import sedgeyoke.link.proto.MembersMessage;
import sedgeyoke.link.proto.NameRow;
import sedgeyoke.link.proto.NamesField;
import sedgeyoke.link.proto.NumberField;
import sedgeyoke.link.proto.OutcomeMessage;
import sedgeyoke.link.proto.PieceMessage;
import sedgeyoke.link.proto.PieceTakenMessage;
import sedgeyoke.link.proto.RecallMessage;
import sedgeyoke.link.proto.RecalledMessage;
import sedgeyoke.link.proto.RequestMessage;
import sedgeyoke.link.proto.RequestOutcome;
import sedgeyoke.link.proto.SnapshotMessage;
import sedgeyoke.link.proto.Standing;
import sedgeyoke.link.proto.TableField;
import sedgeyoke.link.proto.TableRow;
import sedgeyoke.link.proto.VersionMessage;
import sedgeyoke.link.proto.WriteMessage;

/**
 * Between the records of {@link sedgeyoke.agree} and the messages of the schema, on links and on disk. Nothing that is
 * read can make more of itself than its bytes; what makes no sense is {@link Messages.Implausible}.
 */
public final class AgreeCodec implements StateCodec {
    private static final int LONGEST_TEXT = 4_096;

    // ---- Documents and versions ----------------------------------------------------------------------

    static DocumentMessage of(Document d) {
        DocumentMessage.Builder m = DocumentMessage.newBuilder();
        d.numbers()
                .forEach((f, v) ->
                        m.addNumbers(NumberField.newBuilder().setField(f).setValue(v)));
        d.tables().forEach((f, rows) -> {
            TableField.Builder field = TableField.newBuilder().setField(f);
            rows.forEach(
                    (n, v) -> field.addRows(TableRow.newBuilder().setName(n).setValue(v)));
            m.addTables(field);
        });
        d.names().forEach((f, rows) -> {
            NamesField.Builder field = NamesField.newBuilder().setField(f);
            rows.forEach(
                    (n, note) -> field.addRows(NameRow.newBuilder().setName(n).setNote(note)));
            m.addNames(field);
        });
        return m.build();
    }

    static Document document(DocumentMessage m) {
        Map<String, Double> numbers = new TreeMap<>();
        m.getNumbersList().forEach(n -> numbers.put(n.getField(), n.getValue()));
        Map<String, Map<String, Double>> tables = new TreeMap<>();
        m.getTablesList().forEach(t -> {
            Map<String, Double> rows = tables.computeIfAbsent(t.getField(), f -> new TreeMap<>());
            t.getRowsList().forEach(r -> rows.put(r.getName(), r.getValue()));
        });
        Map<String, Map<String, String>> names = new TreeMap<>();
        m.getNamesList().forEach(t -> {
            Map<String, String> rows = names.computeIfAbsent(t.getField(), f -> new TreeMap<>());
            t.getRowsList().forEach(r -> rows.put(r.getName(), r.getNote()));
        });
        return new Document(numbers, tables, names);
    }

    static VersionMessage of(Version v) {
        return VersionMessage.newBuilder()
                .setNumber(v.number())
                .setParent(v.parent())
                .setAuthor(v.author())
                .setReason(v.reason())
                .setAtMs(v.atMs())
                .setContent(of(v.content()))
                .build();
    }

    static Version version(VersionMessage m) {
        return new Version(
                m.getNumber(), m.getParent(), m.getAuthor(), m.getReason(), m.getAtMs(), document(m.getContent()));
    }

    // ---- The log -------------------------------------------------------------------------------------

    static MemberMessage of(Member m) {
        return MemberMessage.newBuilder()
                .setName(m.name())
                .setFolder(m.folder())
                .setAddress(m.address())
                .build();
    }

    static Member member(MemberMessage m) {
        return new Member(m.getName(), m.getFolder(), m.getAddress());
    }

    static MembersMessage of(Members members) {
        MembersMessage.Builder m = MembersMessage.newBuilder();
        members.voters().values().forEach(v -> m.addVoters(of(v)));
        if (members.learner() != null) {
            m.setLearner(of(members.learner()));
        }
        return m.build();
    }

    static Members members(MembersMessage m) {
        Members voters =
                Members.of(m.getVotersList().stream().map(AgreeCodec::member).toList());
        return m.hasLearner() ? new Members(voters.voters(), member(m.getLearner())) : voters;
    }

    static WriteMessage of(Command.Write w) {
        return WriteMessage.newBuilder()
                .setRequest(w.request())
                .setParent(w.parent())
                .setAuthor(w.author())
                .setReason(w.reason())
                .setAtMs(w.atMs())
                .setContent(of(w.content()))
                .build();
    }

    static Command.Write write(WriteMessage m) throws Messages.Implausible {
        if (m.getRequest().isEmpty()
                || m.getRequest().length() > LONGEST_TEXT
                || m.getAuthor().length() > LONGEST_TEXT
                || m.getReason().length() > LONGEST_TEXT) {
            throw new Messages.Implausible("request, author or reason");
        }
        return new Command.Write(
                m.getRequest(), m.getParent(), m.getAuthor(), m.getReason(), m.getAtMs(), document(m.getContent()));
    }

    static EntryMessage of(Entry e) {
        EntryMessage.Builder m = EntryMessage.newBuilder().setIndex(e.index()).setTerm(e.term());
        if (e.command() instanceof Command.Change c) {
            m.setChange(of(c.members()));
        } else if (e.command() instanceof Command.Write w) {
            m.setWrite(of(w));
        } else if (e.command() instanceof Command.Activate a) {
            m.setActivate(a.version());
        } else {
            m.setNothing(true);
        }
        return m.build();
    }

    static Entry entry(EntryMessage m) throws Messages.Implausible {
        Command command =
                switch (m.getCommandCase()) {
                    case CHANGE -> new Command.Change(members(m.getChange()));
                    case WRITE -> write(m.getWrite());
                    case ACTIVATE -> new Command.Activate(m.getActivate());
                    case NOTHING -> new Command.Nothing();
                    default -> throw new Messages.Implausible(
                            "command of entry " + m.getIndex() + ": a newer program may have written it");
                };
        return new Entry(m.getIndex(), m.getTerm(), command);
    }

    static OutcomeMessage of(Outcome o) {
        return OutcomeMessage.newBuilder()
                .setKind(o.kind().ordinal())
                .setVersion(o.version())
                .setText(o.text())
                .build();
    }

    static Outcome outcome(OutcomeMessage m) {
        Outcome.Kind[] kinds = Outcome.Kind.values();
        return new Outcome(
                m.getKind() >= 0 && m.getKind() < kinds.length ? kinds[m.getKind()] : Outcome.Kind.UNKNOWN,
                m.getVersion(),
                m.getText());
    }

    @Override
    public byte[] encode(SnapshotState s) {
        SnapshotMessage.Builder m = SnapshotMessage.newBuilder()
                .setCovered(s.covered())
                .setTerm(s.term())
                .setMembers(of(s.state().members()))
                .setActive(of(s.state().active()));
        if (s.state().pending() != null) {
            m.setPending(of(s.state().pending()));
        }
        s.state().history().forEach(v -> m.addHistory(of(v)));
        s.state()
                .requests()
                .forEach((r, o) ->
                        m.addRequests(RequestOutcome.newBuilder().setRequest(r).setOutcome(of(o))));
        return m.build().toByteArray();
    }

    @Override
    public SnapshotState decode(byte[] bytes) {
        try {
            SnapshotMessage m = SnapshotMessage.parseFrom(bytes);
            Map<String, Outcome> requests = new LinkedHashMap<>();
            m.getRequestsList().forEach(r -> requests.put(r.getRequest(), outcome(r.getOutcome())));
            return new SnapshotState(
                    m.getCovered(),
                    m.getTerm(),
                    new Registry.State(
                            members(m.getMembers()),
                            version(m.getActive()),
                            m.hasPending() ? version(m.getPending()) : null,
                            m.getHistoryList().stream().map(AgreeCodec::version).toList(),
                            requests));
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    // ---- Leases and requests -------------------------------------------------------------------------

    static AskMessage of(LeaseAsk a) {
        return AskMessage.newBuilder()
                .setBalancer(a.balancer())
                .setRun(a.run())
                .setStamp(a.stamp())
                .setHolds(a.holds())
                .setSchema(a.schema())
                .build();
    }

    static LeaseAsk ask(AskMessage m) {
        return new LeaseAsk(m.getBalancer(), m.getRun(), m.getStamp(), m.getHolds(), m.getSchema());
    }

    static GrantMessage of(LeaseGrant g) {
        return GrantMessage.newBuilder()
                .setBalancer(g.balancer())
                .setRun(g.run())
                .setStamp(g.stamp())
                .setActive(g.active())
                .setPending(g.pending())
                .setLeased(g.leased())
                .build();
    }

    static LeaseGrant grant(GrantMessage m) {
        return new LeaseGrant(m.getBalancer(), m.getRun(), m.getStamp(), m.getActive(), m.getPending(), m.getLeased());
    }

    static RequestMessage of(Request r) {
        RequestMessage.Builder m = RequestMessage.newBuilder();
        if (r instanceof Request.Set s) {
            m.setSet(of(s.write()));
        } else if (r instanceof Request.Add a) {
            m.setAdd(of(a.member()));
        } else if (r instanceof Request.Remove e) {
            m.setRemove(MemberMessage.newBuilder().setName(e.name()).setFolder(e.folder()));
        } else {
            m.setRead(true);
        }
        return m.build();
    }

    static Request request(RequestMessage m) throws Messages.Implausible {
        return switch (m.getRequestCase()) {
            case SET -> new Request.Set(write(m.getSet()));
            case ADD -> new Request.Add(member(m.getAdd()));
            case REMOVE -> new Request.Remove(
                    m.getRemove().getName(), m.getRemove().getFolder());
            case READ -> new Request.Read();
            default -> throw new Messages.Implausible("request: a newer program may have sent it");
        };
    }

    // ---- Between keepers -----------------------------------------------------------------------------

    static KeeperMessage of(long folder, Message message) {
        KeeperMessage.Builder m =
                KeeperMessage.newBuilder().setTerm(message.term()).setFolder(folder);
        if (message instanceof Message.PreVote v) {
            m.setPreVote(Standing.newBuilder().setLastIndex(v.lastIndex()).setLastTerm(v.lastTerm()));
        } else if (message instanceof Message.PreVoted v) {
            m.setPreVoted(Granted.newBuilder().setGranted(v.granted()).setSound(v.sound()));
        } else if (message instanceof Message.Vote v) {
            m.setVote(Standing.newBuilder()
                    .setLastIndex(v.lastIndex())
                    .setLastTerm(v.lastTerm())
                    .setHandedOver(v.handedOver()));
        } else if (message instanceof Message.Voted v) {
            m.setVoted(Granted.newBuilder().setGranted(v.granted()).setSound(v.sound()));
        } else if (message instanceof Message.Append a) {
            AppendMessage.Builder b = AppendMessage.newBuilder()
                    .setPrevIndex(a.prevIndex())
                    .setPrevTerm(a.prevTerm())
                    .setCommit(a.commit())
                    .setRound(a.round());
            a.entries().forEach(e -> b.addEntries(of(e)));
            m.setAppend(b);
        } else if (message instanceof Message.Appended a) {
            m.setAppended(AppendedMessage.newBuilder()
                    .setOk(a.ok())
                    .setMatched(a.matched())
                    .setRound(a.round())
                    .setRun(a.run())
                    .setSound(a.sound()));
        } else if (message instanceof Message.Piece p) {
            m.setPiece(PieceMessage.newBuilder()
                    .setCovered(p.covered())
                    .setCoveredTerm(p.coveredTerm())
                    .setOffset(p.offset())
                    .setSize(p.size())
                    .setBytes(ByteString.copyFrom(p.bytes()))
                    .setRound(p.round()));
        } else if (message instanceof Message.PieceTaken p) {
            m.setPieceTaken(PieceTakenMessage.newBuilder()
                    .setCovered(p.covered())
                    .setNext(p.next())
                    .setRound(p.round()));
        } else if (message instanceof Message.StandNow) {
            m.setStandNow(true);
        } else {
            rest(m, message);
        }
        return m.build();
    }

    private static void rest(KeeperMessage.Builder m, Message message) {
        if (message instanceof Message.Recall r) {
            m.setRecall(RecallMessage.newBuilder().addAllRuns(r.runs()).setNumber(r.number()));
        } else if (message instanceof Message.Recalled r) {
            m.setRecalled(RecalledMessage.newBuilder()
                    .setNumber(r.number())
                    .setPast(r.past())
                    .setSound(r.sound())
                    .setLost(r.lost())
                    .setLeads(r.leads())
                    .setLastIndex(r.lastIndex())
                    .setKnownRun(r.knownRun()));
        } else if (message instanceof Message.NotAMember n) {
            m.setNotAMember(n.why());
        } else if (message instanceof Message.Forward f) {
            m.setForward(ForwardMessage.newBuilder().setToken(f.token()).setRequest(of(f.request())));
        } else if (message instanceof Message.Forwarded f) {
            m.setForwarded(ForwardedMessage.newBuilder().setToken(f.token()).setOutcome(of(f.outcome())));
        } else if (message instanceof Message.Asks a) {
            m.setAsks(AsksMessage.newBuilder()
                    .setNumber(a.number())
                    .addAllAsks(a.asks().stream().map(AgreeCodec::of).toList()));
        } else if (message instanceof Message.Grants g) {
            m.setGrants(GrantsMessage.newBuilder()
                    .setNumber(g.number())
                    .setCommit(g.commit())
                    .addAllGrants(g.grants().stream().map(AgreeCodec::of).toList()));
        }
    }

    /** Reads what another keeper says. */
    static Message message(KeeperMessage m) throws Messages.Implausible {
        long term = m.getTerm();
        if (term < 0) {
            throw new Messages.Implausible("term");
        }
        return switch (m.getBodyCase()) {
            case PRE_VOTE -> new Message.PreVote(
                    term, m.getPreVote().getLastIndex(), m.getPreVote().getLastTerm());
            case PRE_VOTED -> new Message.PreVoted(
                    term, m.getPreVoted().getGranted(), m.getPreVoted().getSound());
            case VOTE -> new Message.Vote(
                    term,
                    m.getVote().getLastIndex(),
                    m.getVote().getLastTerm(),
                    m.getVote().getHandedOver());
            case VOTED -> new Message.Voted(
                    term, m.getVoted().getGranted(), m.getVoted().getSound());
            case APPEND -> append(term, m.getAppend());
            case APPENDED -> appended(term, m.getAppended());
            case PIECE -> piece(term, m.getPiece());
            case PIECE_TAKEN -> new Message.PieceTaken(
                    term,
                    m.getPieceTaken().getCovered(),
                    m.getPieceTaken().getNext(),
                    m.getPieceTaken().getRound());
            case STAND_NOW -> new Message.StandNow(term);
            case RECALL -> recall(term, m.getRecall());
            case RECALLED -> recalled(term, m.getRecalled());
            case NOT_A_MEMBER -> new Message.NotAMember(term, m.getNotAMember());
            case FORWARD -> new Message.Forward(
                    term, m.getForward().getToken(), request(m.getForward().getRequest()));
            case FORWARDED -> new Message.Forwarded(
                    term, m.getForwarded().getToken(), outcome(m.getForwarded().getOutcome()));
            case ASKS -> new Message.Asks(
                    term,
                    m.getAsks().getNumber(),
                    m.getAsks().getAsksList().stream().map(AgreeCodec::ask).toList());
            case GRANTS -> new Message.Grants(
                    term,
                    m.getGrants().getNumber(),
                    m.getGrants().getCommit(),
                    m.getGrants().getGrantsList().stream()
                            .map(AgreeCodec::grant)
                            .toList());
            default -> throw new Messages.Implausible("message: a newer program may have sent it");
        };
    }

    private static Message appended(long term, AppendedMessage m) {
        return new Message.Appended(term, m.getOk(), m.getMatched(), m.getRound(), m.getRun(), m.getSound());
    }

    private static Message piece(long term, PieceMessage m) {
        return new Message.Piece(
                term,
                m.getCovered(),
                m.getCoveredTerm(),
                m.getOffset(),
                m.getSize(),
                m.getBytes().toByteArray(),
                m.getRound());
    }

    private static Message recall(long term, RecallMessage m) throws Messages.Implausible {
        if (m.getRunsCount() == 0 || m.getRunsCount() > 1_000) {
            throw new Messages.Implausible("runs");
        }
        return new Message.Recall(term, m.getRunsList(), m.getNumber());
    }

    private static Message recalled(long term, RecalledMessage m) {
        return new Message.Recalled(
                term,
                m.getNumber(),
                m.getPast(),
                m.getSound(),
                m.getLost(),
                m.getLeads(),
                m.getLastIndex(),
                m.getKnownRun());
    }

    private static Message append(long term, AppendMessage m) throws Messages.Implausible {
        List<Entry> entries = new ArrayList<>(m.getEntriesCount());
        long expected = m.getPrevIndex();
        for (EntryMessage e : m.getEntriesList()) {
            if (e.getIndex() != ++expected || e.getTerm() < m.getPrevTerm() || e.getTerm() > term) {
                throw new Messages.Implausible("order of entries");
            }
            entries.add(entry(e));
        }
        return new Message.Append(term, m.getPrevIndex(), m.getPrevTerm(), entries, m.getCommit(), m.getRound());
    }
}
