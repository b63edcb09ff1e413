package io.azurestage.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.azurestage.core.partner.PartnerDirectory;
import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.partner.QuotaLimit;
import io.azurestage.core.route.Route;
import io.azurestage.core.route.TrafficConfig;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests of partners: access keys are checked at the entry and go no further. */
class AccessKeyTest extends RelayScenario {
    private static final String SECRET = "secret-of-hire-house";
    private static final String CREDENTIAL = "Credential: Key " + SECRET + "\r\n";
    private static final String FORGED = "Partner: someone-else\r\n";

    /** Low, but the tolerance leaves room for the requests of each test on keys. */
    private static final QuotaLimit QUOTA = new QuotaLimit(1, 1);

    private InetSocketAddress mEntry;

    /** The first byte is the version, and a second one means that the key was withdrawn. */
    private static TrafficConfig withPartner(byte[] document) {
        TrafficConfig plain = decode(document);
        Set<String> keys = document.length > 1 ? Set.of("another") : Set.of(SECRET);
        PartnerPolicy partner =
                new PartnerPolicy("hire-house", keys, OptionalInt.of(1), Optional.of(QUOTA));
        Route write = plain.routes().get(1);
        Route open =
                new Route(
                        "open",
                        "h",
                        "/open/",
                        true,
                        2,
                        2,
                        ROUTE_TIMEOUT,
                        write.target(),
                        true,
                        write.targets());
        return new TrafficConfig(
                plain.version(),
                List.of(plain.routes().get(0), write, open),
                plain.limits(),
                new PartnerDirectory(List.of(partner)));
    }

    @BeforeEach
    void open() throws Exception {
        mDecoder = AccessKeyTest::withPartner;
        mEntry = startNodes((r, s) -> s.getOutputStream().write(RawServer.ok(r, "whole")));
    }

    private int status(String target, String lines) throws Exception {
        return sendRaw(mEntry, "GET", target, lines, "").status();
    }

    @Nested
    class Accepted {
        @Test
        void serverReceivesPartnerInsteadOfKey() throws Exception {
            assertThat(status("/r/", FORGED + CREDENTIAL)).isEqualTo(200);
            RawServer.Request r = mServer.requests().get(0);
            assertThat(r.field("Partner")).isEqualTo("hire-house");
            assertThat(String.join("\n", r.fields())).doesNotContain("someone-else", SECRET);
        }

        @Test
        void openRouteNeedsNoKeyButForwardsNone() throws Exception {
            assertThat(status("/open/", FORGED)).isEqualTo(200);
            assertThat(status("/open/", "Credential: Key unknown\r\n")).isEqualTo(200);
            for (RawServer.Request r : mServer.requests()) {
                assertThat(r.field("Partner")).isEmpty();
                assertThat(r.field("Credential")).isEmpty();
            }
        }

        @Test
        void keyAppearsNowhere() throws Exception {
            status("/r/", CREDENTIAL);
            status("/x/", CREDENTIAL);
            mLoop.run(() -> mRelays.get(1).stop(() -> {}));
            RawReply refused = sendRaw(mEntry, "POST", "/w/", CREDENTIAL, "body");
            assertThat(refused.status()).isNotEqualTo(200);
            assertThat(refused.head() + refused.body()).doesNotContain(SECRET);
            assertThat(String.join("\n", mEvents)).isNotEmpty().doesNotContain(SECRET);
            assertThat(mMetrics.get(0).registry().scrape().toString()).doesNotContain(SECRET);
            assertThat(withPartner(new byte[] {1}).toString()).doesNotContain(SECRET);
        }
    }

    @Nested
    class Refused {
        @Test
        void missingUnknownAndForeignCredentialsAreRefused() throws Exception {
            assertThat(status("/r/", "")).isEqualTo(401);
            assertThat(status("/r/", "Credential: Key unknown\r\n")).isEqualTo(401);
            assertThat(status("/r/", "Credential: Basic " + SECRET + "\r\n")).isEqualTo(401);
            assertThat(mServer.requests()).isEmpty();
            assertThat(String.join("\n", mEvents)).contains("KEY_REFUSED", "no-key", "unknown-key");
        }

        @Test
        void withdrawnKeyIsRefusedByTheNextVersion() throws Exception {
            assertThat(status("/r/", CREDENTIAL)).isEqualTo(200);
            mStore.put("op/config", new byte[] {2, 1});
            Loop.await("the version is in force", () -> mRelays.get(0).configVersion() == 2);
            assertThat(status("/r/", CREDENTIAL)).isEqualTo(401);
            assertThat(mServer.requests()).hasSize(1);
        }
    }

    @Nested
    class OverQuota {
        @Test
        void requestsBeyondTheQuotaAreRefusedBeforeTheyRun() throws Exception {
            int sent = 60;
            int refused = 0;
            for (int i = 0; i < sent; i++) {
                RawReply reply = sendRaw(mEntry, "GET", "/r/", CREDENTIAL, "");
                if (reply.status() == 429) {
                    refused++;
                    assertThat(reply.head()).contains("Retry-After: ");
                }
            }
            double window = QUOTA_BOUNDS.window().toSeconds();
            double allowed = QUOTA.ratePerSecond() * window + QUOTA.burst();
            assertThat(mServer.requests()).hasSize(sent - refused);
            assertThat(sent - refused)
                    .isLessThanOrEqualTo((int) (allowed + QUOTA_BOUNDS.tolerance(QUOTA)));
            assertThat(String.join("\n", mEvents)).contains("QUOTA_EXCEEDED");
        }

        @Test
        void openRouteWithoutKeyHasNoQuota() throws Exception {
            for (int i = 0; i < 40; i++) {
                assertThat(status("/open/", "")).isEqualTo(200);
            }
        }
    }
}
