package io.azurestage.relay.http;

import java.util.List;

/** Decides to which request a response belongs, by its status and header fields. */
@FunctionalInterface
public interface ResponseFilter {

    /** The request that a response belongs to. */
    enum Owner {
        /** The request that is waiting for a response. */
        THIS_REQUEST,
        /** Another request: the response is skipped. */
        OTHER_REQUEST,
        /**
         * The response does not say. It is that of the first request of a connection; later, it may
         * be a late copy of an earlier response, so the waiting request counts as lost.
         */
        UNKNOWN
    }

    /** Attributes each response to the waiting request, for servers that send no late copies. */
    ResponseFilter ANY = (status, fields) -> Owner.THIS_REQUEST;

    /**
     * Attributes a response.
     *
     * @param status status of the response
     * @param fields its end-to-end header fields
     * @return the request that it belongs to
     */
    Owner owner(int status, List<Field> fields);
}
