package io.azurestage.config;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * An immutable configuration document: partners, services and the retry allowance.
 *
 * @param partners partners by name
 * @param services services by name
 * @param retryAllowance retries that one request may use in total over its entire call chain
 */
public record MeshConfig(
        SortedMap<String, Partner> partners,
        SortedMap<String, ServiceSpec> services,
        int retryAllowance) {

    /** Copies the maps, so that the record is immutable. */
    public MeshConfig {
        partners = Collections.unmodifiableSortedMap(new TreeMap<>(partners));
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
    }

    /**
     * Finds a partner.
     *
     * @param name the partner's name
     * @return the partner, or empty if the configuration has none of this name
     */
    public Optional<Partner> partner(String name) {
        return Optional.ofNullable(partners.get(name));
    }

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, or empty if the configuration has none of this name
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Formats this configuration as canonical JSON: sorted names, fixed field order, two spaces of
     * indentation. Equal configurations give the same text, so that changes give readable diffs.
     *
     * @return the JSON text, ending with a newline
     */
    public String toJson() {
        return ConfigJson.format(this);
    }

    /**
     * Returns the names of the partners.
     *
     * @return sorted names
     */
    public List<String> partnerNames() {
        return List.copyOf(partners.keySet());
    }
}
