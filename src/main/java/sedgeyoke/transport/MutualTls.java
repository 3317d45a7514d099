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
import java.nio.file.attribute.FileTime;
import java.util.function.Consumer;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import sedgeyoke.settings.TlsFiles;

/**
 * Creates TLS handlers from certificate files: TLS 1.3 with certificates on both sides, without host name verification.
 * Files that have changed are reloaded before the next connection. To be used on one thread.
 */
public final class MutualTls {
    private static final String PROTOCOL = "TLSv1.3";

    private final TlsFiles files;
    private final boolean server;
    private final Consumer<String> log;
    private FileVersions loadedVersions;
    private SslContext context;

    /** Attributes by which a changed file is detected. */
    private record FileVersion(FileTime lastModified, long bytes) {
        static FileVersion of(Path path) throws IOException {
            if (!Files.isReadable(path)) {
                throw new IOException("TLS files: " + path + " cannot be read");
            }
            return new FileVersion(Files.getLastModifiedTime(path), Files.size(path));
        }
    }

    private record FileVersions(FileVersion certificate, FileVersion key, FileVersion trust) {
        static FileVersions of(TlsFiles files) throws IOException {
            return new FileVersions(
                    FileVersion.of(files.certificate()), FileVersion.of(files.key()), FileVersion.of(files.trust()));
        }
    }

    private MutualTls(TlsFiles files, boolean server, Consumer<String> log) throws IOException {
        this.files = files;
        this.server = server;
        this.log = log;
        this.loadedVersions = FileVersions.of(files);
        this.context = loadContext();
    }

    /** Loads the files for accepting connections; throws an exception with their names if that fails. */
    public static MutualTls forServer(TlsFiles files, Consumer<String> log) throws IOException {
        return new MutualTls(files, true, log);
    }

    /** Loads the files for making connections; throws an exception with their names if that fails. */
    public static MutualTls forClient(TlsFiles files, Consumer<String> log) throws IOException {
        return new MutualTls(files, false, log);
    }

    private SslContext loadContext() throws IOException {
        File certificate = files.certificate().toFile();
        File key = files.key().toFile();
        try {
            SslContextBuilder builder = server
                    ? SslContextBuilder.forServer(certificate, key)
                    : SslContextBuilder.forClient().keyManager(certificate, key);
            return builder.trustManager(files.trust().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .sslProvider(SslProvider.JDK)
                    .protocols(PROTOCOL)
                    .endpointIdentificationAlgorithm(null)
                    .build();
        } catch (IllegalArgumentException | IOException e) {
            throw new IOException(
                    "TLS files " + files.certificate() + ", " + files.key() + ", " + files.trust() + ": "
                            + e.getMessage(),
                    e);
        }
    }

    /**
     * Returns a handler for a new connection. Changed files are reloaded first; if that fails, the previous ones are
     * used.
     */
    public SslHandler newHandler(Channel channel) {
        reloadIfChanged();
        SslHandler handler = context.newHandler(channel.alloc());
        SSLEngine engine = handler.engine();
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm(null);
        engine.setSSLParameters(parameters);
        return handler;
    }

    private void reloadIfChanged() {
        try {
            FileVersions present = FileVersions.of(files);
            if (!present.equals(loadedVersions)) {
                loadedVersions = present;
                context = loadContext();
                log.accept("TLS files reloaded");
            }
        } catch (IOException e) {
            log.accept("TLS files not reloaded, the previous ones stay in use: " + e.getMessage());
        }
    }
}
