package io.azurestage.relay.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.DescriptorProtos.FileDescriptorSet;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.UnknownFieldSet;
import io.azurestage.config.WorkClass;
import io.azurestage.core.admission.ServiceLevel;
import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.quota.QuotaGrant;
import io.azurestage.core.quota.QuotaReport;
import io.azurestage.core.time.PauseDetector;
import io.azurestage.core.time.TimeSource;
import io.azurestage.relay.TestCalls;
import io.azurestage.relay.call.CallHandle;
import io.azurestage.relay.call.CallListener;
import io.azurestage.relay.call.CallResult;
import io.azurestage.relay.call.CallResult.Answered.Execution;
import io.azurestage.relay.call.CallSpec;
import io.azurestage.relay.call.LoadReport;
import io.azurestage.relay.http.Body;
import io.azurestage.relay.http.BodyInput;
import io.azurestage.relay.http.Field;
import io.azurestage.wire.generated.link.CallQuery;
import io.azurestage.wire.generated.link.LinkMessage;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Links to nodes of an earlier build, by bytes that the build 9b20e3a wrote. */
class EarlierBuildTest {
    private static final String FOLDER = "/builds/9b20e3a/";
    private static final int UNKNOWN_BODY = 99;

    private static byte[] recorded(String name) throws IOException {
        try (InputStream in = EarlierBuildTest.class.getResourceAsStream(FOLDER + name)) {
            return in.readAllBytes();
        }
    }

    private static LinkMessage message(String name) throws IOException {
        return LinkMessage.parseFrom(recorded(name));
    }

    @Nested
    class MessagesOfTheEarlierBuild {
        @Test
        void callKeepsAllItsProperties() throws Exception {
            LinkMessage m = message("start.bin");
            assertThat(m.getStart().getCallId()).isEqualTo(3);
            CallSpec spec =
                    CallMessages.toCallSpec(
                            m.getStart(), Body.of(m.getStart().getBody().toByteArray()), 0);
            assertThat(spec)
                    .usingRecursiveComparison()
                    .isEqualTo(
                            new CallSpec(
                                    "id-1",
                                    "POST",
                                    "/w/a?q=1",
                                    "h.example",
                                    List.of(new Field("A", "1"), new Field("B", "2")),
                                    Body.of("body".getBytes()),
                                    Duration.ofMillis(1_500).toNanos(),
                                    "books",
                                    "write",
                                    WorkClass.CRITICAL,
                                    0.25,
                                    0.75,
                                    true,
                                    true,
                                    true,
                                    true,
                                    true,
                                    "desk"));
        }

        @Test
        void resultsKeepTheirMeaningAndDivertNothing() throws Exception {
            LinkMessage m = message("answer.bin");
            CallResult.Answered a =
                    CallMessages.toAnswered(m.getAnswer(), Body.of("whole".getBytes()));
            assertThat(a.status()).isEqualTo(200);
            assertThat(a.execution()).isEqualTo(Execution.COMPLETED);
            assertThat(a.fields()).containsExactly(new Field("A", "1"));
            assertThat(CallMessages.toLoadReport(m.getAnswer().getLoad()))
                    .isEqualTo(
                            new LoadReport(
                                    0.5,
                                    0.125,
                                    List.of(new ServiceLevel("books", WorkClass.NORMAL, 0.5)),
                                    2.5,
                                    true,
                                    0,
                                    true));
            assertThat(CallMessages.toCallResult(message("end-not-run.bin").getEnd()))
                    .isEqualTo(new CallResult.NotRun("overloaded", Duration.ofMillis(700), true));
            assertThat(CallMessages.toCallResult(message("end-maybe-run.bin").getEnd()))
                    .isEqualTo(new CallResult.MaybeRun("lost"));
        }

        @Test
        void otherMessagesKeepTheirMeaning() throws Exception {
            assertThat(message("hello.bin").getHello().getNodeId()).isEqualTo("node-1");
            assertThat(message("hello.bin").getHello().getConfigVersion()).isEqualTo(7);
            assertThat(message("data.bin").getData().getLast()).isTrue();
            assertThat(message("cancel.bin").getCancel().getCallId()).isEqualTo(3);
            assertThat(message("query.bin").getQuery().getCallIdList()).containsExactly(3L, 4L);
            assertThat(message("probe.bin").getProbe().getConfigVersion()).isEqualTo(7);
            assertThat(message("probe-reply.bin").getProbeReply().getConfigVersion()).isEqualTo(7);
            assertThat(message("config-fetch.bin").hasConfigFetch()).isTrue();
            assertThat(message("config.bin").getConfig().getDocument().toStringUtf8())
                    .isEqualTo("document");
            assertThat(QuotaMessages.toReports(message("quota-reports.bin").getQuotaReports()))
                    .containsExactly(new QuotaReport("partner-1", 9, 10, 12, 20, 3.5, 0.5, 4.5));
            assertThat(QuotaMessages.toGrants(message("quota-grants.bin").getQuotaGrants()))
                    .containsExactly(new QuotaGrant("partner-1", 9, 10, 0.5, 3.5, 2, 0.25, 4.5));
        }
    }

    @Nested
    class MessagesOfThisBuild {
        private Descriptor earlier() throws Exception {
            FileDescriptorSet files = FileDescriptorSet.parseFrom(recorded("link.descriptor"));
            FileDescriptor file = FileDescriptor.buildFrom(files.getFile(0), new FileDescriptor[0]);
            return file.findMessageTypeByName("LinkMessage");
        }

        private void assertReadByTheEarlierBuild(LinkMessage m) throws Exception {
            DynamicMessage read = DynamicMessage.parseFrom(earlier(), m.toByteArray());
            FieldDescriptor body =
                    read.getOneofFieldDescriptor(read.getDescriptorForType().getOneofs().get(0));
            assertThat(body).as("a body that the earlier build knows").isNotNull();
            assertThat(body.getNumber()).isEqualTo(m.getBodyCase().getNumber());
        }

        /** Sends each kind of message that nodes exchange without asking what the peer knows. */
        @Test
        void allMessagesAreOfKindsThatTheEarlierBuildKnows() throws Exception {
            List<LinkMessage> sent = new ArrayList<>();
            LoadReport load = new LoadReport(0.5, 0, List.of(), 0, false, 0.75, false);
            CallSpec call = TestCalls.first("s", new byte[600_000], 1, true);
            sent.add(CallMessages.start(1, call, 0));
            BodyInput<LinkMessage> rest = BodyChunks.rest(1, call.body(), () -> {});
            while (!rest.isEndOfInput()) {
                sent.add(rest.readChunk(UnpooledByteBufAllocator.DEFAULT));
            }
            sent.add(
                    CallMessages.result(
                            1,
                            new CallResult.Answered(200, List.of(), Body.EMPTY, Execution.FAILED),
                            load));
            sent.add(CallMessages.result(1, new CallResult.MaybeRun("lost"), load));
            sent.add(
                    LinkMessage.newBuilder()
                            .setQuery(CallQuery.newBuilder().setComplete(true).addCallId(1))
                            .build());
            for (LinkMessage m : sent) {
                assertReadByTheEarlierBuild(m);
            }
            assertThat(sent).hasSizeGreaterThan(4);
        }

        @Test
        void newFieldsHaveNumbersThatTheEarlierBuildDoesNotUse() throws Exception {
            for (Descriptor old : earlier().getFile().getMessageTypes()) {
                Descriptor now =
                        LinkMessage.getDescriptor().getFile().findMessageTypeByName(old.getName());
                for (FieldDescriptor f : old.getFields()) {
                    FieldDescriptor kept = now.findFieldByNumber(f.getNumber());
                    assertThat(kept).as(f.getFullName()).isNotNull();
                    assertThat(kept.getName()).isEqualTo(f.getName());
                    assertThat(kept.getType()).isEqualTo(f.getType());
                }
            }
        }
    }

    /** A query of the earlier build names only calls that it asks about, not all that it has. */
    @Test
    void queryOfTheEarlierBuildCancelsNothing() throws Exception {
        List<String> cancelled = new ArrayList<>();
        TimeSource time = TimeSource.system();
        IncomingCalls calls =
                new IncomingCalls(
                        time,
                        new PauseDetector(time),
                        (CallSpec spec, CallListener listener) -> handle(cancelled, spec));
        EmbeddedChannel channel = new EmbeddedChannel();
        calls.connected(channel);
        LinkMessage start = message("start.bin");
        calls.accept(
                channel,
                start.toBuilder().setStart(start.getStart().toBuilder().setCallId(9)).build());
        channel.runPendingTasks();
        calls.accept(channel, message("query.bin"));
        assertThat(cancelled).isEmpty();
    }

    private static CallHandle handle(List<String> cancelled, CallSpec spec) {
        return () -> cancelled.add(spec.requestId());
    }

    @Test
    void messagesOfALaterBuildAreIgnored() throws Exception {
        LinkMessage later =
                LinkMessage.newBuilder()
                        .setUnknownFields(
                                UnknownFieldSet.newBuilder()
                                        .addField(
                                                UNKNOWN_BODY,
                                                UnknownFieldSet.Field.newBuilder()
                                                        .addVarint(1)
                                                        .build())
                                        .build())
                        .build();
        LinkSelf self =
                new LinkSelf(
                        new NodeIdentity("node", 1),
                        () -> 1,
                        () -> 0,
                        Optional::empty,
                        d -> {},
                        QuotaPeer.NONE,
                        (server, started) -> {});
        ConfigExchange exchange = new ConfigExchange(self, m -> {});
        assertThat(exchange.accept(later)).isFalse();
        List<String> cancelled = new ArrayList<>();
        TimeSource time = TimeSource.system();
        IncomingCalls calls =
                new IncomingCalls(
                        time, new PauseDetector(time), (spec, listener) -> handle(cancelled, spec));
        EmbeddedChannel channel = new EmbeddedChannel();
        calls.connected(channel);
        calls.accept(channel, later);
        assertThat(channel.isOpen()).isTrue();
    }
}
