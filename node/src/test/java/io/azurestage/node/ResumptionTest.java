package io.azurestage.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.azurestage.core.time.TimeSource;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests long answers whose transfer from the backend server is interrupted. */
class ResumptionTest {
    private static final int MIB = 1 << 20;

    private TestMesh mMesh;
    private LongAnswer mFile;

    private void start(LongAnswer file, int servers, int allowance) throws Exception {
        mFile = file;
        mMesh = new TestMesh(TimeSource.system(), allowance);
        for (int i = 1; i < servers; i++) {
            mMesh.add("c", "");
        }
        for (int i = 2; i < 2 + servers; i++) {
            mMesh.backend(i).behaviour(file);
        }
    }

    @AfterEach
    void stop() throws Exception {
        mMesh.close();
    }

    private ContentResponse get() throws Exception {
        return new CompletableResponseListener(
                        mMesh.request(mMesh.node(0), "GET", "/bookings/plan")
                                .headers(h -> h.put(Headers.SERVICE, "c"))
                                .onResponseContent((r, part) -> mFile.seen()),
                        16 * MIB)
                .send()
                .get(20, TimeUnit.SECONDS);
    }

    private void assertAborted() {
        assertThatThrownBy(this::get).isInstanceOf(ExecutionException.class);
    }

    private int runs() {
        int runs = 0;
        for (int i = 2; i < mMesh.nodes().size(); i++) {
            runs += mMesh.backend(i).runs();
        }
        return runs;
    }

    // Guards against a gap or an overlap at the offset where another server resumes the answer.
    @ParameterizedTest
    @ValueSource(ints = {2 * MIB, 6 * MIB})
    void areContinuedOnAnotherServer(int length) throws Exception {
        LongAnswer file = new LongAnswer(length, MIB + MIB / 2, 1);
        start(file, 2, 3);
        ContentResponse r = get();
        assertThat(r.getStatus()).isEqualTo(200);
        assertThat(r.getContent()).isEqualTo(file.bytes());
        assertThat(file.ranges()).isEqualTo(1);
        assertThat(mMesh.backend(2).runs()).isEqualTo(1);
        assertThat(mMesh.backend(3).runs()).isEqualTo(1);
    }

    @Test
    void areContinuedAgainWhenTheRestBreaksToo() throws Exception {
        LongAnswer file = new LongAnswer(8 * MIB, 2 * MIB, 2);
        start(file, 3, 3);
        assertThat(get().getContent()).isEqualTo(file.bytes());
        assertThat(runs()).isEqualTo(3);
    }

    // Guards against resumptions that exceed the retry allowance of the request.
    @Test
    void takeOneRetryForEachResumption() throws Exception {
        LongAnswer file = new LongAnswer(8 * MIB, 2 * MIB, 2);
        start(file, 3, 1);
        assertAborted();
        assertThat(runs()).isEqualTo(2);
    }

    // Guards against an answer composed of two versions of a file.
    @Test
    void areAbortedWhenTheValidatorHasChanged() throws Exception {
        start(new LongAnswer(2 * MIB, MIB + MIB / 2, 1).etag("\"one\"", "\"two\""), 2, 3);
        assertAborted();
        assertThat(runs()).isEqualTo(2);
    }

    // Guards against resuming with a weak validator, which does not guarantee identical bytes.
    @ParameterizedTest
    @ValueSource(strings = {"W/\"one\"", "one"})
    void areAbortedWithoutAStrongValidator(String etag) throws Exception {
        start(new LongAnswer(2 * MIB, MIB + MIB / 2, 1).etag(etag, etag), 2, 3);
        assertAborted();
        assertThat(runs()).isEqualTo(1);
    }

    @Test
    void areAbortedWhenTheRangeDoesNotFit() throws Exception {
        start(new LongAnswer(2 * MIB, MIB + MIB / 2, 1).shift(1), 2, 3);
        assertAborted();
    }

    // Guards against accepting a resumed range that is shorter than its Content-Range.
    @Test
    void areAbortedWhenTheRestIsTooShort() throws Exception {
        start(new LongAnswer(2 * MIB, MIB + MIB / 2, 1).shortBy(5), 2, 3);
        assertAborted();
    }

    @Test
    void areAbortedWhenNoOtherServerIsLeft() throws Exception {
        start(new LongAnswer(2 * MIB, MIB + MIB / 2, 1), 1, 3);
        assertAborted();
        assertThat(runs()).isEqualTo(1);
    }
}
