package sedgeyoke.standin;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/** A certificate authority for demos, drills and tests. */
public final class Certificates {
    private static final Duration VALIDITY = Duration.ofDays(2);

    private final Path folder;
    private final X509Bundle authority;

    /** Creates an authority; all files go to the folder. */
    public Certificates(Path folder) throws IOException {
        this.folder = folder;
        try {
            this.authority = builder("CN=stand-in authority")
                    .setIsCertificateAuthority(true)
                    .buildSelfSigned();
        } catch (Exception e) { // the builder declares nothing narrower
            throw new IOException("no certificate authority", e);
        }
        Files.writeString(folder.resolve("ca.pem"), authority.getCertificatePEM());
    }

    private static CertificateBuilder builder(String subject) {
        Instant now = Instant.now();
        return new CertificateBuilder()
                .subject(subject)
                .notBefore(now.minus(VALIDITY))
                .notAfter(now.plus(VALIDITY))
                .algorithm(CertificateBuilder.Algorithm.ecp256);
    }

    /**
     * Issues a certificate to a name in a role ({@code forwarder} or {@code planner}); returns the lines of an
     * operator's file that name it.
     */
    public String issue(String name, String role) throws IOException {
        try {
            X509Bundle own = builder("CN=" + name + ", OU=" + role).buildIssuedBy(authority);
            Files.writeString(folder.resolve(name + ".pem"), own.getCertificatePEM());
            Files.writeString(folder.resolve(name + ".key"), own.getPrivateKeyPEM());
        } catch (Exception e) { // the builder declares nothing narrower
            throw new IOException("no certificate for " + name, e);
        }
        return "certificate = \"" + name + ".pem\"\nkey = \"" + name + ".key\"\ntrust = \"ca.pem\"\n";
    }
}
