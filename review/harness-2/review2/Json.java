package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON, for the calls of the platform's store. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object o) {
        return (Map<String, Object>) o;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object o) {
        return o == null ? List.of() : (List<Object>) o;
    }

    static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            mAt++;
            while (peek() != '}') {
                String key = string();
                peek();
                mAt++;
                m.put(key, value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return m;
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            mAt++;
            while (peek() != ']') {
                l.add(value());
                if (peek() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return l;
        }
        if (c == '"') {
            return string();
        }
        int from = mAt;
        while (mAt < mText.length() && "}],".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(from, mAt).trim();
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> (long) Double.parseDouble(word);
        };
    }

    private String string() {
        peek();
        StringBuilder s = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            if (mText.charAt(mAt) == '\\') {
                mAt++;
            }
            s.append(mText.charAt(mAt));
        }
        mAt++;
        return s.toString();
    }
}
