package io.azurestage.node;

import io.azurestage.core.once.OnceRegistry;
import io.azurestage.core.once.StoredAnswer;
import io.azurestage.core.once.Ticket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Records the outcome of a ticketed request before passing it to the caller. */
final class TicketOutcomeSink implements AnswerSink {
    private final AnswerSink mNext;
    private final OnceRegistry mOnce;
    private final Ticket mTicket;

    TicketOutcomeSink(AnswerSink next, OnceRegistry once, Ticket ticket) {
        mNext = next;
        mOnce = once;
        mTicket = ticket;
    }

    @Override
    public void refuse(Refusal r) {
        if (r.ran() == Ran.NOT_RUN) {
            boolean sealed = mOnce.seal(mTicket);
            mNext.refuse(sealed ? r : r.withUnknownExecution());
            return;
        }
        mOnce.complete(mTicket, Optional.empty());
        mNext.refuse(r);
    }

    @Override
    public void respond(int status, HttpFields headers, byte[] body) {
        mOnce.complete(mTicket, Optional.of(new StoredAnswer(status, fields(headers), body)));
        mNext.respond(status, headers, body);
    }

    @Override
    public StreamSink stream(int status, HttpFields headers) {
        // Streamed answers are not stored: a repeat is told only that the request ran.
        mOnce.complete(mTicket, Optional.empty());
        return mNext.stream(status, headers);
    }

    private static Map<String, List<String>> fields(HttpFields headers) {
        Map<String, List<String>> m = new TreeMap<>();
        for (HttpField f : headers) {
            m.put(f.getName(), headers.getValuesList(f.getName()));
        }
        return m;
    }
}
