package io.azurestage.node;

/** Keys in the platform's key-value service. */
final class StoreKeys {
    static final String CONFIG = "azurestage/config";
    static final String SEEDS = "azurestage/seeds/";

    private StoreKeys() {}
}
