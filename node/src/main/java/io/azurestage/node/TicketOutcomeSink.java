package io.azurestage.node;

import io.azurestage.core.once.StoredAnswer;
import io.azurestage.core.once.Ticket;
import io.azurestage.core.once.TicketRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Records the outcome of a ticketed request before passing it to the caller. */
final class TicketOutcomeSink implements AnswerSink {
    private final AnswerSink mNext;
    private final TicketRegistry mTicketRegistry;
    private final Ticket mTicket;

    TicketOutcomeSink(AnswerSink next, TicketRegistry ticketRegistry, Ticket ticket) {
        mNext = next;
        mTicketRegistry = ticketRegistry;
        mTicket = ticket;
    }

    @Override
    public void refuse(Refusal r) {
        if (r.ran() == Ran.NOT_RUN) {
            boolean sealed = mTicketRegistry.seal(mTicket);
            mNext.refuse(sealed ? r : r.withUnknownExecution());
            return;
        }
        mTicketRegistry.complete(mTicket, Optional.empty());
        mNext.refuse(r);
    }

    @Override
    public void respond(int status, HttpFields headers, byte[] body) {
        mTicketRegistry.complete(
                mTicket, Optional.of(new StoredAnswer(status, fields(headers), body)));
        mNext.respond(status, headers, body);
    }

    @Override
    public StreamSink stream(int status, HttpFields headers) {
        // Streamed answers are not stored: a repeat is told only that the request ran.
        mTicketRegistry.complete(mTicket, Optional.empty());
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
