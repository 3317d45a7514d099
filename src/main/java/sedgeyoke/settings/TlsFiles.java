package sedgeyoke.settings;

import java.nio.file.Path;

/**
 * Where one side of a mutual TLS link has its files, all PEM. They are read again when they change.
 *
 * @param certificate its own certificate, with what its issuer wants in between
 * @param key its private key (PKCS #8)
 * @param trust the certificates of those who may have issued the peer's
 */
public record TlsFiles(Path certificate, Path key, Path trust) {}
