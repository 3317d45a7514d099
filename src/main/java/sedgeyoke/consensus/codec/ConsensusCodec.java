package sedgeyoke.consensus.codec;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.ConfigDocument;
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
import sedgeyoke.consensus.SnapshotCodec;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.AppendMessage;
import sedgeyoke.transport.proto.AppendedMessage;
import sedgeyoke.transport.proto.AskMessage;
import sedgeyoke.transport.proto.AsksMessage;
import sedgeyoke.transport.proto.DocumentMessage;
import sedgeyoke.transport.proto.EntryMessage;
import sedgeyoke.transport.proto.ForwardMessage;
import sedgeyoke.transport.proto.ForwardedMessage;
import sedgeyoke.transport.proto.GrantMessage;
import sedgeyoke.transport.proto.Granted;
import sedgeyoke.transport.proto.GrantsMessage;
import sedgeyoke.transport.proto.KeeperMessage;
import sedgeyoke.transport.proto.MemberMessage;
import sedgeyoke.transport.proto.MembersMessage;
import sedgeyoke.transport.proto.NameRow;
import sedgeyoke.transport.proto.NamesField;
import sedgeyoke.transport.proto.NumberField;
import sedgeyoke.transport.proto.OutcomeMessage;
import sedgeyoke.transport.proto.PieceMessage;
import sedgeyoke.transport.proto.PieceTakenMessage;
import sedgeyoke.transport.proto.RecallMessage;
import sedgeyoke.transport.proto.RecalledMessage;
import sedgeyoke.transport.proto.RequestMessage;
import sedgeyoke.transport.proto.RequestOutcome;
import sedgeyoke.transport.proto.SnapshotMessage;
import sedgeyoke.transport.proto.Standing;
import sedgeyoke.transport.proto.TableField;
import sedgeyoke.transport.proto.TableRow;
import sedgeyoke.transport.proto.VersionMessage;
import sedgeyoke.transport.proto.WriteMessage;

/**
 * Between the records of {@link sedgeyoke.consensus} and the messages of the schema, on links and on disk. Nothing that
 * is read can make more of itself than its bytes; what makes no sense is {@link InvalidMessageException}.
 */
public final class ConsensusCodec implements SnapshotCodec {
    private static final int LONGEST_TEXT = 4_096;

    // ---- Documents and versions ----------------------------------------------------------------------

    /** Encodes a {@code ConfigDocument}. */
    public static DocumentMessage of(ConfigDocument d) {
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

    /** Decodes a {@code DocumentMessage}. */
    public static ConfigDocument document(DocumentMessage m) {
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
        return new ConfigDocument(numbers, tables, names);
    }

    /** Encodes a {@code ConfigVersion}. */
    public static VersionMessage of(ConfigVersion v) {
        return VersionMessage.newBuilder()
                .setNumber(v.number())
                .setParent(v.parent())
                .setAuthor(v.author())
                .setReason(v.reason())
                .setAtMs(v.createdAtMillis())
                .setContent(of(v.content()))
                .build();
    }

    /** Decodes a {@code VersionMessage}. */
    public static ConfigVersion version(VersionMessage m) {
        return new ConfigVersion(
                m.getNumber(), m.getParent(), m.getAuthor(), m.getReason(), m.getAtMs(), document(m.getContent()));
    }

    // ---- The log -------------------------------------------------------------------------------------

    /** Encodes a {@code Member}. */
    public static MemberMessage of(Member m) {
        return MemberMessage.newBuilder()
                .setName(m.name())
                .setFolder(m.storageId())
                .setAddress(m.address())
                .build();
    }

    /** Decodes a {@code MemberMessage}. */
    public static Member member(MemberMessage m) {
        return new Member(m.getName(), m.getFolder(), m.getAddress());
    }

    /** Encodes a {@code Membership}. */
    public static MembersMessage of(Membership members) {
        MembersMessage.Builder m = MembersMessage.newBuilder();
        members.voters().values().forEach(v -> m.addVoters(of(v)));
        if (members.learner() != null) {
            m.setLearner(of(members.learner()));
        }
        return m.build();
    }

    /** Decodes a {@code MembersMessage}. */
    public static Membership members(MembersMessage m) {
        Membership voters = Membership.of(
                m.getVotersList().stream().map(ConsensusCodec::member).toList());
        return m.hasLearner() ? new Membership(voters.voters(), member(m.getLearner())) : voters;
    }

    /** Encodes a {@code Command.Write}. */
    public static WriteMessage of(Command.Write w) {
        return WriteMessage.newBuilder()
                .setRequest(w.requestId())
                .setParent(w.parentVersion())
                .setAuthor(w.author())
                .setReason(w.reason())
                .setAtMs(w.createdAtMillis())
                .setContent(of(w.content()))
                .build();
    }

    /** Decodes a {@code WriteMessage}; throws where it is out of bounds. */
    public static Command.Write write(WriteMessage m) throws InvalidMessageException {
        if (m.getRequest().isEmpty()
                || m.getRequest().length() > LONGEST_TEXT
                || m.getAuthor().length() > LONGEST_TEXT
                || m.getReason().length() > LONGEST_TEXT) {
            throw new InvalidMessageException("request, author or reason");
        }
        return new Command.Write(
                m.getRequest(), m.getParent(), m.getAuthor(), m.getReason(), m.getAtMs(), document(m.getContent()));
    }

    /** Encodes a {@code LogEntry}. */
    public static EntryMessage of(LogEntry e) {
        EntryMessage.Builder m = EntryMessage.newBuilder().setIndex(e.index()).setTerm(e.term());
        if (e.command() instanceof Command.ChangeMembership c) {
            m.setChange(of(c.membership()));
        } else if (e.command() instanceof Command.Write w) {
            m.setWrite(of(w));
        } else if (e.command() instanceof Command.Activate a) {
            m.setActivate(a.version());
        } else {
            m.setNothing(true);
        }
        return m.build();
    }

    /** Decodes a {@code EntryMessage}; throws where it is out of bounds. */
    public static LogEntry entry(EntryMessage m) throws InvalidMessageException {
        Command command =
                switch (m.getCommandCase()) {
                    case CHANGE -> new Command.ChangeMembership(members(m.getChange()));
                    case WRITE -> write(m.getWrite());
                    case ACTIVATE -> new Command.Activate(m.getActivate());
                    case NOTHING -> new Command.NoOp();
                    default -> throw new InvalidMessageException(
                            "command of entry " + m.getIndex() + ": a newer program may have written it");
                };
        return new LogEntry(m.getIndex(), m.getTerm(), command);
    }

    /** Encodes a {@code RequestResult}. */
    public static OutcomeMessage of(RequestResult o) {
        return OutcomeMessage.newBuilder()
                .setKind(o.kind().ordinal())
                .setVersion(o.version())
                .setText(o.detail())
                .build();
    }

    /** Decodes a {@code OutcomeMessage}. */
    public static RequestResult outcome(OutcomeMessage m) {
        RequestResult.Kind[] kinds = RequestResult.Kind.values();
        return new RequestResult(
                m.getKind() >= 0 && m.getKind() < kinds.length ? kinds[m.getKind()] : RequestResult.Kind.UNKNOWN,
                m.getVersion(),
                m.getText());
    }

    @Override
    public byte[] encode(Snapshot s) {
        SnapshotMessage.Builder m = SnapshotMessage.newBuilder()
                .setCovered(s.lastIncludedIndex())
                .setTerm(s.lastIncludedTerm())
                .setMembers(of(s.state().membership()))
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
    public Snapshot decode(byte[] bytes) {
        try {
            SnapshotMessage m = SnapshotMessage.parseFrom(bytes);
            Map<String, RequestResult> requests = new LinkedHashMap<>();
            m.getRequestsList().forEach(r -> requests.put(r.getRequest(), outcome(r.getOutcome())));
            return new Snapshot(
                    m.getCovered(),
                    m.getTerm(),
                    new ConfigStateMachine.State(
                            members(m.getMembers()),
                            version(m.getActive()),
                            m.hasPending() ? version(m.getPending()) : null,
                            m.getHistoryList().stream()
                                    .map(ConsensusCodec::version)
                                    .toList(),
                            requests));
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    // ---- Leases and requests -------------------------------------------------------------------------

    /** Encodes a {@code LeaseRequest}. */
    public static AskMessage of(LeaseRequest a) {
        return AskMessage.newBuilder()
                .setBalancer(a.balancer())
                .setRun(a.incarnation())
                .setStamp(a.sentAtMicros())
                .setHolds(a.heldVersion())
                .setSchema(a.schemaVersion())
                .build();
    }

    /** Decodes a {@code AskMessage}. */
    public static LeaseRequest ask(AskMessage m) {
        return new LeaseRequest(m.getBalancer(), m.getRun(), m.getStamp(), m.getHolds(), m.getSchema());
    }

    /** Encodes a {@code LeaseResponse}. */
    public static GrantMessage of(LeaseResponse g) {
        return GrantMessage.newBuilder()
                .setBalancer(g.balancer())
                .setRun(g.incarnation())
                .setStamp(g.sentAtMicros())
                .setActive(g.activeVersion())
                .setPending(g.pendingVersion())
                .setLeased(g.granted())
                .build();
    }

    /** Decodes a {@code GrantMessage}. */
    public static LeaseResponse grant(GrantMessage m) {
        return new LeaseResponse(
                m.getBalancer(), m.getRun(), m.getStamp(), m.getActive(), m.getPending(), m.getLeased());
    }

    /** Encodes a {@code ClientRequest}. */
    public static RequestMessage of(ClientRequest r) {
        RequestMessage.Builder m = RequestMessage.newBuilder();
        if (r instanceof ClientRequest.Set s) {
            m.setSet(of(s.write()));
        } else if (r instanceof ClientRequest.AddMember a) {
            m.setAdd(of(a.member()));
        } else if (r instanceof ClientRequest.RemoveMember e) {
            m.setRemove(MemberMessage.newBuilder().setName(e.name()).setFolder(e.storageId()));
        } else {
            m.setRead(true);
        }
        return m.build();
    }

    /** Decodes a {@code RequestMessage}; throws where it is out of bounds. */
    public static ClientRequest request(RequestMessage m) throws InvalidMessageException {
        return switch (m.getRequestCase()) {
            case SET -> new ClientRequest.Set(write(m.getSet()));
            case ADD -> new ClientRequest.AddMember(member(m.getAdd()));
            case REMOVE -> new ClientRequest.RemoveMember(
                    m.getRemove().getName(), m.getRemove().getFolder());
            case READ -> new ClientRequest.Read();
            default -> throw new InvalidMessageException("request: a newer program may have sent it");
        };
    }

    // ---- Between keepers -----------------------------------------------------------------------------

    /** Encodes a {@code long}. */
    public static KeeperMessage of(long folder, RaftMessage message) {
        KeeperMessage.Builder m =
                KeeperMessage.newBuilder().setTerm(message.term()).setFolder(folder);
        if (message instanceof RaftMessage.RequestPreVote v) {
            m.setPreVote(Standing.newBuilder().setLastIndex(v.lastIndex()).setLastTerm(v.lastTerm()));
        } else if (message instanceof RaftMessage.PreVoteResponse v) {
            m.setPreVoted(Granted.newBuilder().setGranted(v.granted()).setSound(v.recovered()));
        } else if (message instanceof RaftMessage.RequestVote v) {
            m.setVote(Standing.newBuilder()
                    .setLastIndex(v.lastIndex())
                    .setLastTerm(v.lastTerm())
                    .setHandedOver(v.leadershipTransfer()));
        } else if (message instanceof RaftMessage.VoteResponse v) {
            m.setVoted(Granted.newBuilder().setGranted(v.granted()).setSound(v.recovered()));
        } else if (message instanceof RaftMessage.AppendEntries a) {
            AppendMessage.Builder b = AppendMessage.newBuilder()
                    .setPrevIndex(a.prevIndex())
                    .setPrevTerm(a.prevTerm())
                    .setCommit(a.leaderCommit())
                    .setRound(a.round());
            a.entries().forEach(e -> b.addEntries(of(e)));
            m.setAppend(b);
        } else if (message instanceof RaftMessage.AppendEntriesResponse a) {
            m.setAppended(AppendedMessage.newBuilder()
                    .setOk(a.success())
                    .setMatched(a.matchIndex())
                    .setRound(a.round())
                    .setRun(a.incarnation())
                    .setSound(a.recovered()));
        } else if (message instanceof RaftMessage.InstallSnapshotChunk p) {
            m.setPiece(PieceMessage.newBuilder()
                    .setCovered(p.lastIncludedIndex())
                    .setCoveredTerm(p.lastIncludedTerm())
                    .setOffset(p.offset())
                    .setSize(p.totalSize())
                    .setBytes(ByteString.copyFrom(p.data()))
                    .setRound(p.round()));
        } else if (message instanceof RaftMessage.SnapshotChunkAck p) {
            m.setPieceTaken(PieceTakenMessage.newBuilder()
                    .setCovered(p.lastIncludedIndex())
                    .setNext(p.nextOffset())
                    .setRound(p.round()));
        } else if (message instanceof RaftMessage.TimeoutNow) {
            m.setStandNow(true);
        } else {
            rest(m, message);
        }
        return m.build();
    }

    private static void rest(KeeperMessage.Builder m, RaftMessage message) {
        if (message instanceof RaftMessage.RecoveryQuery r) {
            m.setRecall(RecallMessage.newBuilder().addAllRuns(r.incarnations()).setNumber(r.queryId()));
        } else if (message instanceof RaftMessage.RecoveryReply r) {
            m.setRecalled(RecalledMessage.newBuilder()
                    .setNumber(r.queryId())
                    .setPast(r.outdated())
                    .setSound(r.recovered())
                    .setLost(r.dataLost())
                    .setLeads(r.isLeader())
                    .setLastIndex(r.lastIndex())
                    .setKnownRun(r.knownIncarnation()));
        } else if (message instanceof RaftMessage.NotAMember n) {
            m.setNotAMember(n.reason());
        } else if (message instanceof RaftMessage.ForwardedRequest f) {
            m.setForward(ForwardMessage.newBuilder().setToken(f.token()).setRequest(of(f.request())));
        } else if (message instanceof RaftMessage.ForwardedResponse f) {
            m.setForwarded(ForwardedMessage.newBuilder().setToken(f.token()).setOutcome(of(f.result())));
        } else if (message instanceof RaftMessage.LeaseRequests a) {
            m.setAsks(AsksMessage.newBuilder()
                    .setNumber(a.number())
                    .addAllAsks(a.requests().stream().map(ConsensusCodec::of).toList()));
        } else if (message instanceof RaftMessage.LeaseResponses g) {
            m.setGrants(GrantsMessage.newBuilder()
                    .setNumber(g.number())
                    .setCommit(g.commitIndex())
                    .addAllGrants(g.responses().stream().map(ConsensusCodec::of).toList()));
        }
    }

    /** Reads what another keeper says. */
    public static RaftMessage message(KeeperMessage m) throws InvalidMessageException {
        long term = m.getTerm();
        if (term < 0) {
            throw new InvalidMessageException("term");
        }
        return switch (m.getBodyCase()) {
            case PRE_VOTE -> new RaftMessage.RequestPreVote(
                    term, m.getPreVote().getLastIndex(), m.getPreVote().getLastTerm());
            case PRE_VOTED -> new RaftMessage.PreVoteResponse(
                    term, m.getPreVoted().getGranted(), m.getPreVoted().getSound());
            case VOTE -> new RaftMessage.RequestVote(
                    term,
                    m.getVote().getLastIndex(),
                    m.getVote().getLastTerm(),
                    m.getVote().getHandedOver());
            case VOTED -> new RaftMessage.VoteResponse(
                    term, m.getVoted().getGranted(), m.getVoted().getSound());
            case APPEND -> append(term, m.getAppend());
            case APPENDED -> appended(term, m.getAppended());
            case PIECE -> piece(term, m.getPiece());
            case PIECE_TAKEN -> new RaftMessage.SnapshotChunkAck(
                    term,
                    m.getPieceTaken().getCovered(),
                    m.getPieceTaken().getNext(),
                    m.getPieceTaken().getRound());
            case STAND_NOW -> new RaftMessage.TimeoutNow(term);
            case RECALL -> recall(term, m.getRecall());
            case RECALLED -> recalled(term, m.getRecalled());
            case NOT_A_MEMBER -> new RaftMessage.NotAMember(term, m.getNotAMember());
            case FORWARD -> new RaftMessage.ForwardedRequest(
                    term, m.getForward().getToken(), request(m.getForward().getRequest()));
            case FORWARDED -> new RaftMessage.ForwardedResponse(
                    term, m.getForwarded().getToken(), outcome(m.getForwarded().getOutcome()));
            case ASKS -> new RaftMessage.LeaseRequests(
                    term,
                    m.getAsks().getNumber(),
                    m.getAsks().getAsksList().stream().map(ConsensusCodec::ask).toList());
            case GRANTS -> new RaftMessage.LeaseResponses(
                    term,
                    m.getGrants().getNumber(),
                    m.getGrants().getCommit(),
                    m.getGrants().getGrantsList().stream()
                            .map(ConsensusCodec::grant)
                            .toList());
            default -> throw new InvalidMessageException("message: a newer program may have sent it");
        };
    }

    private static RaftMessage appended(long term, AppendedMessage m) {
        return new RaftMessage.AppendEntriesResponse(
                term, m.getOk(), m.getMatched(), m.getRound(), m.getRun(), m.getSound());
    }

    private static RaftMessage piece(long term, PieceMessage m) {
        return new RaftMessage.InstallSnapshotChunk(
                term,
                m.getCovered(),
                m.getCoveredTerm(),
                m.getOffset(),
                m.getSize(),
                m.getBytes().toByteArray(),
                m.getRound());
    }

    private static RaftMessage recall(long term, RecallMessage m) throws InvalidMessageException {
        if (m.getRunsCount() == 0 || m.getRunsCount() > 1_000) {
            throw new InvalidMessageException("runs");
        }
        return new RaftMessage.RecoveryQuery(term, m.getRunsList(), m.getNumber());
    }

    private static RaftMessage recalled(long term, RecalledMessage m) {
        return new RaftMessage.RecoveryReply(
                term,
                m.getNumber(),
                m.getPast(),
                m.getSound(),
                m.getLost(),
                m.getLeads(),
                m.getLastIndex(),
                m.getKnownRun());
    }

    private static RaftMessage append(long term, AppendMessage m) throws InvalidMessageException {
        List<LogEntry> entries = new ArrayList<>(m.getEntriesCount());
        long expected = m.getPrevIndex();
        for (EntryMessage e : m.getEntriesList()) {
            if (e.getIndex() != ++expected || e.getTerm() < m.getPrevTerm() || e.getTerm() > term) {
                throw new InvalidMessageException("order of entries");
            }
            entries.add(entry(e));
        }
        return new RaftMessage.AppendEntries(
                term, m.getPrevIndex(), m.getPrevTerm(), entries, m.getCommit(), m.getRound());
    }
}
