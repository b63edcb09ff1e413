package io.azurestage.config;

/**
 * A partner and its agreed share of the capacity.
 *
 * @param name unique name
 * @param share percent of every service's capacity, over 0 and at most 100
 * @param floor percent of capacity that is never lent to other partners while this one is active,
 *     at least 1 and at most the share
 * @param priority order among partners with equal claims to capacity, 0 first
 * @param credentialSha256 SHA-256 of the partner's credential, 64 lower-case hexadecimal digits
 */
public record Partner(String name, int share, int floor, int priority, String credentialSha256) {}
