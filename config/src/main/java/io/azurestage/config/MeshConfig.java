package io.azurestage.config;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One immutable configuration document: partners, services and the retry allowance.
 *
 * @param partners partners by name
 * @param services services by name
 * @param retryAllowance retries that one whole request may use over its entire chain
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
     * Prints canonical JSON: sorted names, fixed field order, two spaces of indentation. The same
     * configuration always prints the same text, so that a change is a readable diff.
     *
     * @return the JSON text, ending with a newline
     */
    public String toJson() {
        return ConfigJson.print(this);
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
