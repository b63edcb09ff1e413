package io.azurestage.relay;

import io.azurestage.core.memory.DescriptorLimit;
import io.azurestage.core.quota.QuotaBounds;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a node on a platform.
 *
 * @param nodeId stable name of the node
 * @param dataCentre data centre of the VM
 * @param region region of the VM
 * @param service service of the backend server on this VM
 * @param entryAddress address on which the node accepts requests from callers on this VM
 * @param linkAddress address on which the node accepts links from other nodes
 * @param heartbeat interval between heartbeats of a backend server
 * @param drain how long a server that is shutting down still accepts work after its report was
 *     acknowledged
 * @param stopTime time between SIGTERM and SIGKILL
 * @param retryRatio retries allowed per request to a service, over all nodes
 * @param retryConstant further retries allowed to a service in each window, over all nodes
 * @param retryWindow length of the window
 * @param quotas how closely quotas of partners must be kept
 * @param descriptors number of descriptors that the process may open
 */
public record RelaySettings(
        String nodeId,
        String dataCentre,
        String region,
        String service,
        InetSocketAddress entryAddress,
        InetSocketAddress linkAddress,
        Duration heartbeat,
        Duration drain,
        Duration stopTime,
        double retryRatio,
        double retryConstant,
        Duration retryWindow,
        QuotaBounds quotas,
        DescriptorLimit descriptors) {}
