package io.azurestage.bench.standin;

/** One change of one key. A null value is a removal. */
record StandInStoreChange(String key, byte[] value, long revision, long lease) {

    boolean isRemoval() {
        return value == null;
    }
}
