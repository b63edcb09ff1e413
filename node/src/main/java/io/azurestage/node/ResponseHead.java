package io.azurestage.node;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/** Checks what Jetty leaves open in the head of a response. */
final class ResponseHead {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private ResponseHead() {}

    /**
     * Returns why a response cannot be delivered: its status is none of a final response, or, in
     * HTTP/1, its version or transfer coding is another one, or only the end of the connection
     * delimits its body, so that a truncated body would look complete.
     *
     * @param response response whose head has been received
     * @param version version that the connection uses
     * @return the reason, empty if the response can be delivered
     */
    static Optional<String> fault(Response response, HttpVersion version) {
        int status = response.getStatus();
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            return Optional.of("the answer's status is " + status);
        }
        if (version == HttpVersion.HTTP_2) {
            return Optional.empty();
        }
        if (response.getVersion().getVersion() > version.getVersion()) {
            return Optional.of("the answer's version is " + response.getVersion());
        }
        HttpFields fields = response.getHeaders();
        if (fields.contains(HttpHeader.TRANSFER_ENCODING)) {
            String coding = String.join(",", fields.getValuesList(HttpHeader.TRANSFER_ENCODING));
            boolean chunked = HttpHeaderValue.CHUNKED.is(coding);
            return chunked && response.getVersion() == HttpVersion.HTTP_1_1
                    ? Optional.empty()
                    : Optional.of("the answer has the transfer coding " + coding);
        }
        boolean delimited =
                fields.contains(HttpHeader.CONTENT_LENGTH)
                        || HttpMethod.HEAD.is(response.getRequest().getMethod())
                        || status == HttpStatus.NO_CONTENT_204
                        || status == HttpStatus.NOT_MODIFIED_304;
        return delimited
                ? Optional.empty()
                : Optional.of("the answer has neither a length nor chunks");
    }
}
