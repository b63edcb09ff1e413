/** Takes callers' requests, admits them, places them at nodes and answers them. */
package io.azurestage.relay.entry;
