package io.azurestage.bench;

/** Sleep that turns an interrupt into an {@link IllegalStateException}. */
final class Sleep {
    private Sleep() {}

    static void millis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the experiment was interrupted", e);
        }
    }
}
