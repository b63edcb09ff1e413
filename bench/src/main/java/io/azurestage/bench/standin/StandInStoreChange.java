package io.azurestage.bench.standin;

/** A put or, with a null value, a removal of one key. A lease of 0 means none. */
record StandInStoreChange(String key, byte[] value, long revision, long lease) {

    boolean isRemoval() {
        return value == null;
    }
}
