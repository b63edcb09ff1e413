package io.azurestage.config;

/**
 * Thrown when a JSON text is not a valid configuration. The message names the JSON path, the fault
 * and the remedy.
 */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private final String mPath;
    private final String mFault;
    private final String mRemedy;

    /**
     * Creates an exception.
     *
     * @param path JSON path such as {@code $.partners.hire-house.share}
     * @param fault what is expected and what was found
     * @param remedy what to do about it
     */
    public ConfigException(String path, String fault, String remedy) {
        super(path + ": " + fault + "; " + remedy);
        mPath = path;
        mFault = fault;
        mRemedy = remedy;
    }

    /**
     * Returns the JSON path of the fault.
     *
     * @return JSON path
     */
    public String path() {
        return mPath;
    }

    /**
     * Returns the fault and the remedy in the form of a validation result.
     *
     * @return the problem
     */
    public ConfigProblem problem() {
        return new ConfigProblem(mPath, mFault, mRemedy);
    }
}
