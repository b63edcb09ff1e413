package io.azurestage.node;

import org.eclipse.jetty.http.HttpFields;

/** Receives the answer of a call. Only the first answer takes effect. */
interface AnswerSink {

    /** Answers with a refusal. */
    void refuse(Refusal r);

    /** Answers with a complete response of the backend server. */
    void respond(int status, HttpFields headers, byte[] body);

    /** Starts an answer that is too long to buffer; its body is written to the returned sink. */
    StreamSink stream(int status, HttpFields headers);
}
