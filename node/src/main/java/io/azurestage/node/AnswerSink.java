package io.azurestage.node;

import org.eclipse.jetty.http.HttpFields;

/** Takes the one answer of a call. Only the first answer counts. */
interface AnswerSink {

    /** Answers with a refusal. */
    void refuse(Refusal r);

    /** Answers with a whole answer of the backend server. */
    void whole(int status, HttpFields headers, byte[] body);

    /** Starts an answer that is too long to hold. */
    StreamSink stream(int status, HttpFields headers);
}
