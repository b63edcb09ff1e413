/**
 * Operators' library: partners, services and shares as immutable Java objects that print canonical
 * JSON.
 *
 * <p>Start at {@link io.azurestage.config.Azurestage}.
 */
package io.azurestage.config;
