/** Quotas of partners over all nodes: carries reports and grants over the links. */
package io.azurestage.relay.quota;
