package sedgeyoke.settings;

import java.nio.file.Path;

/**
 * The files of one side of a mutual TLS connection, all PEM. They are read again when they change.
 *
 * @param certificate its own certificate, followed by intermediate ones
 * @param key its private key (PKCS #8)
 * @param trust the certificates of the issuers that peers may have
 */
public record TlsFiles(Path certificate, Path key, Path trust) {}
