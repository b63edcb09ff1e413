package io.azurestage.core.context;

/** Outcome of decoding a context header. */
public sealed interface ContextResult {

    /**
     * The context is authentic and meant for this node.
     *
     * @param context the decoded context
     */
    record Valid(RequestContext context) implements ContextResult {}

    /** The authentication code does not match: made or changed by somebody without the key. */
    record Forged() implements ContextResult {}

    /**
     * The context is authentic but was signed for another node incarnation.
     *
     * @param audience the incarnation that it was signed for
     */
    record WrongAudience(NodeIdentity audience) implements ContextResult {}

    /**
     * The header is not a context at all.
     *
     * @param reason what is wrong
     */
    record Malformed(String reason) implements ContextResult {}
}
