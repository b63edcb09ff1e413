package io.azurestage.node;

/** Keys in the platform's key-value store. */
final class StoreKeys {
    static final String CONFIG = "azurestage/config";
    static final String SEEDS = "azurestage/seeds/";

    private StoreKeys() {}
}
