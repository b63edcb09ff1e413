package io.azurestage.config;

import java.util.ArrayList;
import java.util.List;

/** Builds a {@link ServiceSpec}. */
public final class ServiceBuilder {
    private final String mName;
    private final List<Operation> mOperations = new ArrayList<>();

    ServiceBuilder(String name) {
        mName = name;
    }

    /**
     * Adds a non-idempotent operation of class {@link WorkClass#CRITICAL}.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path
     * @return this builder
     */
    public ServiceBuilder critical(String method, String pathPrefix) {
        return operation(method, pathPrefix, WorkClass.CRITICAL, false);
    }

    /**
     * Adds an idempotent operation of class {@link WorkClass#NORMAL}.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path
     * @return this builder
     */
    public ServiceBuilder normal(String method, String pathPrefix) {
        return operation(method, pathPrefix, WorkClass.NORMAL, true);
    }

    /**
     * Adds an idempotent operation of class {@link WorkClass#BROWSING}.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path
     * @return this builder
     */
    public ServiceBuilder browsing(String method, String pathPrefix) {
        return operation(method, pathPrefix, WorkClass.BROWSING, true);
    }

    /**
     * Adds an operation.
     *
     * @param method HTTP method
     * @param pathPrefix prefix of the path
     * @param workClass class of work
     * @param idempotent whether running a request twice has the same effect as running it once
     * @return this builder
     */
    public ServiceBuilder operation(
            String method, String pathPrefix, WorkClass workClass, boolean idempotent) {
        mOperations.add(new Operation(method, pathPrefix, workClass, idempotent));
        return this;
    }

    ServiceSpec build() {
        return new ServiceSpec(mName, mOperations);
    }
}
