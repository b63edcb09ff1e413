package io.azurestage.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Builds a {@link Partner}. */
public final class PartnerBuilder {
    static final int DEFAULT_FLOOR = 1;

    private final String mName;
    private int mShare;
    private int mFloor = DEFAULT_FLOOR;
    private int mPriority;
    private String mCredentialSha256 = "";

    PartnerBuilder(String name) {
        mName = name;
    }

    /**
     * Sets the share.
     *
     * @param percent percent of every service's capacity
     * @return this builder
     */
    public PartnerBuilder share(int percent) {
        mShare = percent;
        return this;
    }

    /**
     * Sets the floor, which is not lent to other partners while this one is active.
     *
     * @param percent percent of capacity, at most the share
     * @return this builder
     */
    public PartnerBuilder floor(int percent) {
        mFloor = percent;
        return this;
    }

    /**
     * Sets the priority among partners with equal claims to capacity.
     *
     * @param priority 0 for the first
     * @return this builder
     */
    public PartnerBuilder priority(int priority) {
        mPriority = priority;
        return this;
    }

    /**
     * Sets the credential. Only its hash is stored.
     *
     * @param credential the secret that the partner's callers send
     * @return this builder
     */
    public PartnerBuilder credential(String credential) {
        return credentialSha256(sha256(credential));
    }

    /**
     * Sets the hash of the credential.
     *
     * @param hex 64 lower-case hexadecimal digits
     * @return this builder
     */
    public PartnerBuilder credentialSha256(String hex) {
        mCredentialSha256 = hex;
        return this;
    }

    Partner build() {
        return new Partner(mName, mShare, mFloor, mPriority, mCredentialSha256);
    }

    private static String sha256(String text) {
        try {
            MessageDigest d = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(d.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
