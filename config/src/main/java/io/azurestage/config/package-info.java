/**
 * Configuration library for operators: partners, services and shares as immutable Java objects that
 * serialise to canonical JSON.
 *
 * <p>Start at {@link io.azurestage.config.Azurestage}.
 */
package io.azurestage.config;
