package io.azurestage.relay.entry;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.routing.Pick;
import io.azurestage.relay.call.CallTarget;
import java.util.Optional;
import java.util.Set;

/** Selects the node that runs an attempt. */
public interface Placement {

    /**
     * A selected node.
     *
     * @param pick receives the result, for routing
     * @param target starts the attempt
     */
    record Place(Pick pick, CallTarget target) {}

    /**
     * Selects a node.
     *
     * @param service name of the called service
     * @param exclude nodes that have already received the request
     * @return the selected node, or empty if none is left
     */
    Optional<Place> choose(String service, Set<NodeIdentity> exclude);
}
