package io.azurestage.config;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/** Builds a {@link MeshConfig} step by step. */
public final class ConfigBuilder {
    static final int DEFAULT_RETRY_ALLOWANCE = 3;

    private final SortedMap<String, Partner> mPartners = new TreeMap<>();
    private final SortedMap<String, ServiceSpec> mServices = new TreeMap<>();
    private int mRetryAllowance = DEFAULT_RETRY_ALLOWANCE;

    ConfigBuilder() {}

    /**
     * Adds or replaces a partner.
     *
     * @param name unique name
     * @param edit sets the partner's share, floor, priority and credential
     * @return this builder
     */
    public ConfigBuilder partner(String name, UnaryOperator<PartnerBuilder> edit) {
        mPartners.put(name, edit.apply(new PartnerBuilder(name)).build());
        return this;
    }

    /**
     * Adds or replaces a service.
     *
     * @param name unique name
     * @param edit adds the service's operations
     * @return this builder
     */
    public ConfigBuilder service(String name, UnaryOperator<ServiceBuilder> edit) {
        mServices.put(name, edit.apply(new ServiceBuilder(name)).build());
        return this;
    }

    /**
     * Sets the number of retries that one request may use in total over its entire call chain.
     *
     * @param retries 0 or more
     * @return this builder
     */
    public ConfigBuilder retryAllowance(int retries) {
        mRetryAllowance = retries;
        return this;
    }

    /**
     * Builds the configuration.
     *
     * @return an immutable configuration
     */
    public MeshConfig build() {
        return new MeshConfig(mPartners, mServices, mRetryAllowance);
    }
}
