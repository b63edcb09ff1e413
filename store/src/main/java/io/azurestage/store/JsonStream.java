package io.azurestage.store;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteBufferFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Parses a stream of consecutive JSON objects that arrives in arbitrary chunks. */
final class JsonStream {
    private final JsonParser mParser;
    private final Consumer<JsonNode> mConsumer;
    private TokenBuffer mBuffer;
    private int mDepth;
    private long mBytes;

    JsonStream(Consumer<JsonNode> consumer) {
        mConsumer = consumer;
        try {
            mParser = EtcdJson.MAPPER.getFactory().createNonBlockingByteBufferParser();
        } catch (IOException e) {
            throw new IllegalStateException("cannot create a JSON parser", e);
        }
    }

    /**
     * Parses a chunk of the stream and passes each object that it completes to the consumer.
     *
     * @throws EtcdFormatException if the stream is not a sequence of JSON objects, or an object is
     *     larger than {@link EtcdHttp#MAX_RESPONSE_BYTES}
     */
    void feed(ByteBuffer chunk) {
        mBytes += chunk.remaining();
        if (mBytes > EtcdHttp.MAX_RESPONSE_BYTES) {
            throw new EtcdFormatException(
                    "a message is over " + EtcdHttp.MAX_RESPONSE_BYTES + " bytes");
        }
        try {
            ((ByteBufferFeeder) mParser.getNonBlockingInputFeeder()).feedInput(chunk);
            for (JsonToken t = mParser.nextToken();
                    t != JsonToken.NOT_AVAILABLE && t != null;
                    t = mParser.nextToken()) {
                accept(t);
            }
        } catch (IOException e) {
            throw new EtcdFormatException("not JSON");
        }
    }

    private void accept(JsonToken token) throws IOException {
        if (mDepth == 0) {
            if (token != JsonToken.START_OBJECT) {
                throw new EtcdFormatException("not a JSON object");
            }
            mBuffer = new TokenBuffer(mParser);
        }
        mBuffer.copyCurrentEvent(mParser);
        if (token.isStructStart()) {
            mDepth++;
        } else if (token.isStructEnd()) {
            mDepth--;
        }
        if (mDepth == 0) {
            mBytes = 0;
            JsonNode n = EtcdJson.MAPPER.readTree(mBuffer.asParser());
            mBuffer.close();
            mConsumer.accept(n);
        }
    }
}
