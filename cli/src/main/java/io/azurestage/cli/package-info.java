/**
 * The operators' command-line tool.
 *
 * <p>Start at {@link io.azurestage.cli.Main}.
 */
package io.azurestage.cli;
