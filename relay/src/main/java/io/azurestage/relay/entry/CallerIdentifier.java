package io.azurestage.relay.entry;

import io.azurestage.core.partner.PartnerDirectory;
import io.azurestage.core.partner.PartnerPolicy;
import io.azurestage.core.route.Route;
import io.azurestage.relay.HeaderNames;
import io.azurestage.relay.http.Field;
import io.azurestage.relay.http.Fields;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Identifies the partner of a request by its access key, and removes the key from the fields that
 * are forwarded.
 *
 * <p>Calls of backend servers carry no key. A platform marks the routes that they use as open, so a
 * request without a key is refused on every other route, whoever sent it. Immutable.
 */
final class CallerIdentifier {

    /** Result for a request. */
    sealed interface Identity permits Accepted, Rejected {}

    /**
     * The request may run.
     *
     * @param partner partner that holds the key, empty if there is none and none is needed
     * @param fields fields to forward, without the key and with the name of the partner
     */
    record Accepted(Optional<PartnerPolicy> partner, List<Field> fields) implements Identity {}

    /**
     * The route needs a key and the request has none, or one that no partner holds.
     *
     * @param reason reason for the event log, without the key
     */
    record Rejected(String reason) implements Identity {}

    private final HeaderNames mNames;
    private final PartnerDirectory mPartners;

    CallerIdentifier(HeaderNames names, PartnerDirectory partners) {
        mNames = names;
        mPartners = partners;
    }

    Identity identify(List<Field> fields, Route route) {
        if (mPartners.isEmpty()) {
            return new Accepted(Optional.empty(), fields);
        }
        Optional<String> key = Fields.first(fields, mNames.credential()).map(this::key);
        Optional<PartnerPolicy> partner = key.flatMap(mPartners::byKey);
        if (partner.isEmpty() && !route.open()) {
            return new Rejected(key.isPresent() ? "unknown-key" : "no-key");
        }
        return new Accepted(partner, forwarded(fields, partner));
    }

    /** Returns the key of a credential; one of another scheme is no key and matches no partner. */
    private String key(String credential) {
        String prefix = mNames.credentialScheme() + " ";
        boolean ownScheme = credential.regionMatches(true, 0, prefix, 0, prefix.length());
        return ownScheme ? credential.substring(prefix.length()).trim() : "";
    }

    private List<Field> forwarded(List<Field> fields, Optional<PartnerPolicy> partner) {
        List<Field> forwarded = new ArrayList<>(fields.size() + 1);
        for (Field f : fields) {
            boolean replaced =
                    f.name().equalsIgnoreCase(mNames.credential())
                            || f.name().equalsIgnoreCase(mNames.partner());
            if (!replaced) {
                forwarded.add(f);
            }
        }
        partner.ifPresent(p -> forwarded.add(new Field(mNames.partner(), p.name())));
        return forwarded;
    }
}
