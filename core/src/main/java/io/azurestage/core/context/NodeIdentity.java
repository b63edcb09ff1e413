package io.azurestage.core.context;

/**
 * One incarnation of a node.
 *
 * @param nodeId stable name from the settings
 * @param incarnation number that is new at every start
 */
public record NodeIdentity(String nodeId, long incarnation) {}
