package io.azurestage.core.context;

/** Result of decoding a context header. */
public sealed interface ContextResult {

    /**
     * The context is authentic and names this node as its audience.
     *
     * @param context the decoded context
     */
    record Valid(RequestContext context) implements ContextResult {}

    /** The authentication code does not match: the context was made or changed without the key. */
    record Forged() implements ContextResult {}

    /**
     * The context is authentic but was signed for another node incarnation.
     *
     * @param audience the incarnation that it was signed for
     */
    record WrongAudience(NodeIdentity audience) implements ContextResult {}

    /**
     * The header does not have the format of a context.
     *
     * @param reason description of the error
     */
    record Malformed(String reason) implements ContextResult {}
}
