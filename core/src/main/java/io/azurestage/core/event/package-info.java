/** Events and the bounded log that each node keeps of them. */
package io.azurestage.core.event;
