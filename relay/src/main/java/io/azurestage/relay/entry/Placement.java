package io.azurestage.relay.entry;

import io.azurestage.core.context.NodeIdentity;
import io.azurestage.core.routing.Pick;
import io.azurestage.relay.call.CallTarget;
import java.util.Optional;
import java.util.Set;

/** Chooses the node for an attempt. */
public interface Placement {

    /**
     * A chosen node.
     *
     * @param pick reports the result to routing
     * @param target takes the attempt
     */
    record Place(Pick pick, CallTarget target) {}

    /**
     * Chooses a node.
     *
     * @param service service to call
     * @param exclude nodes that this request must not be sent to again
     * @return the choice, or empty if no node is left
     */
    Optional<Place> choose(String service, Set<NodeIdentity> exclude);
}
