package io.azurestage.config;

/**
 * Class of work and idempotence of requests with a given method and path prefix.
 *
 * @param method HTTP method in upper case
 * @param pathPrefix prefix of the path, starting with a slash
 * @param workClass class of work
 * @param idempotent whether running a request twice has the same effect as running it once
 */
public record Operation(String method, String pathPrefix, WorkClass workClass, boolean idempotent) {

    /**
     * Reports whether a request belongs to this operation.
     *
     * @param requestMethod HTTP method
     * @param path path of the request
     * @return true if the method is equal and the path starts with the prefix
     */
    public boolean matches(String requestMethod, String path) {
        return method.equals(requestMethod) && path.startsWith(pathPrefix);
    }
}
