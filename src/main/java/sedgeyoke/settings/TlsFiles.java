package sedgeyoke.settings;

import java.nio.file.Path;

/**
 * The PEM files of one side of a mutual TLS connection. They are reloaded when they change.
 *
 * @param certificate the certificate chain, starting with the own certificate
 * @param key the private key (PKCS #8)
 * @param trust the certificates of the issuers that are trusted to sign peers' certificates
 */
public record TlsFiles(Path certificate, Path key, Path trust) {}
