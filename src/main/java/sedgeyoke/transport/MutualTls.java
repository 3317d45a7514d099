package sedgeyoke.transport;

import io.netty.channel.Channel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLPeerUnverifiedException;
import sedgeyoke.settings.TlsFiles;

/**
 * Mutual TLS 1.3 from files, taken up anew when they change. Who a peer is stands in its certificate's subject: the
 * common name is its name, the organisational unit its role. Addresses are no part of it: there is no DNS.
 */
public final class MutualTls {
    /** The parts a peer can have. */
    public enum Role {
        FORWARDER("forwarder"),
        PLANNER("planner"),
        KEEPER("keeper"),
        OPERATOR("operator");

        private final String unit;

        Role(String unit) {
            this.unit = unit;
        }

        /** The organisational unit that a certificate of this role has. */
        public String unit() {
            return unit;
        }
    }

    private final TlsFiles files;
    private final boolean server;
    private final Consumer<String> log;
    private List<Object> state = List.of();
    private SslContext context;

    /** Reads the files; throws if they are no good. */
    public MutualTls(TlsFiles files, boolean server, Consumer<String> log) throws IOException {
        this.files = files;
        this.server = server;
        this.log = log;
        this.state = stateOfFiles();
        this.context = read();
    }

    private List<Object> stateOfFiles() throws IOException {
        List<Object> seen = new ArrayList<>();
        for (Path p : List.of(files.certificate(), files.key(), files.trust())) {
            if (!Files.isReadable(p)) {
                throw new IOException("TLS files: " + p + " cannot be read");
            }
            seen.add(Files.getLastModifiedTime(p));
            seen.add(Files.size(p));
        }
        return seen;
    }

    private SslContext read() throws IOException {
        File certificate = files.certificate().toFile();
        File key = files.key().toFile();
        try {
            SslContextBuilder builder = server
                    ? SslContextBuilder.forServer(certificate, key)
                    : SslContextBuilder.forClient().keyManager(certificate, key);
            return builder.trustManager(files.trust().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .sslProvider(SslProvider.JDK)
                    .protocols("TLSv1.3")
                    .endpointIdentificationAlgorithm(null)
                    .build();
        } catch (IllegalArgumentException | IOException e) {
            throw new IOException(
                    "TLS files " + files.certificate() + ", " + files.key() + ", " + files.trust() + ": "
                            + e.getMessage(),
                    e);
        }
    }

    /** For a new connection; files that changed are read first, and what cannot be read changes nothing. */
    public SslHandler handler(Channel channel) {
        try {
            List<Object> now = stateOfFiles();
            if (!now.equals(state)) {
                state = now;
                context = read();
                log.accept("TLS files taken up anew");
            }
        } catch (IOException e) {
            log.accept("the TLS files in use stay in force: " + e.getMessage());
        }
        SslHandler handler = context.newHandler(channel.alloc());
        SSLEngine engine = handler.engine();
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm(null);
        engine.setSSLParameters(parameters);
        return handler;
    }

    /** Who a peer is. */
    record Peer(String name, Role role) {}

    /** The peer, if its certificate gives it one of these roles; else null. */
    static Peer peer(SslHandler handler, Set<Role> roles) {
        try {
            Certificate[] chain = handler.engine().getSession().getPeerCertificates();
            LdapName subject = new LdapName(
                    ((X509Certificate) chain[0]).getSubjectX500Principal().getName());
            String name = null;
            Role role = null;
            for (Rdn rdn : subject.getRdns()) {
                name = rdn.getType().equalsIgnoreCase("CN") ? String.valueOf(rdn.getValue()) : name;
                for (Role r : roles) {
                    role = rdn.getType().equalsIgnoreCase("OU") && r.unit.equals(rdn.getValue()) ? r : role;
                }
            }
            return role == null || name == null ? null : new Peer(name, role);
        } catch (SSLPeerUnverifiedException | InvalidNameException e) {
            return null;
        }
    }
}
