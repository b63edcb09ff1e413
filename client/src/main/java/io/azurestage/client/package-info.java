/**
 * Client library for callers: calls services through any node of the mesh.
 *
 * <p>Start at {@link io.azurestage.client.AzurestageClient}.
 */
package io.azurestage.client;
