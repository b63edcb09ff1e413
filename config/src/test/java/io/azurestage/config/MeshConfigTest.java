package io.azurestage.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MeshConfigTest {

    @Nested
    class Json {
        @Test
        void parsesToAnEqualConfiguration() {
            MeshConfig c =
                    Azurestage.config()
                            .partner("b", p -> p.share(40).credential("x"))
                            .partner("a", p -> p.share(60).floor(5).credential("y"))
                            .service("s", s -> s.critical("POST", "/bookings"))
                            .build();
            assertThat(Azurestage.parse(c.toJson())).isEqualTo(c);
        }

        // Guards against a misspelt field that is silently ignored.
        @Test
        void withAnUnknownFieldIsRejected() {
            assertThatThrownBy(() -> Azurestage.parse("{\"shares\":1}"))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("shares");
        }
    }

    @Nested
    class Operations {
        @Test
        void withTheLongestPrefixWin() {
            ServiceSpec s =
                    new ServiceBuilder("s").browsing("GET", "/").normal("GET", "/orders").build();
            assertThat(s.operation("GET", "/orders/7").workClass()).isEqualTo(WorkClass.NORMAL);
        }
    }
}
