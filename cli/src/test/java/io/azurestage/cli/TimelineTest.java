package io.azurestage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TimelineTest {

    // Guards against events shown out of clock order, so that an effect precedes its cause, and
    // against a limit that drops the latest events.
    @Property(tries = 300, seed = "71")
    void mergeKeepsLatestEventsInClockOrder(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 400) Integer> readings,
            @ForAll @IntRange(min = 1, max = 40) int limit) {
        List<NodeResponse> responses = new ArrayList<>();
        List<TimelineEvent> all = new ArrayList<>();
        for (int node = 0; node < 3; node++) {
            ObjectNode body = Json.object();
            ArrayNode events = body.putArray("events");
            for (int i = node; i < readings.size(); i += 3) {
                int r = readings.get(i);
                ObjectNode e = events.addObject().put("millis", r / 4).put("counter", r % 4);
                all.add(TimelineEvent.of(e.put("nodeId", "n" + node)));
            }
            responses.add(new NodeResponse(200, body, ""));
        }
        Collections.sort(all);
        int from = Math.max(0, all.size() - limit);
        assertThat(TimelineCommand.merge(responses, limit))
                .containsExactlyElementsOf(all.subList(from, all.size()));
    }
}
