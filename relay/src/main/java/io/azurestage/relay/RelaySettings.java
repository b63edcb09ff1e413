package io.azurestage.relay;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a node on a platform.
 *
 * @param nodeId stable name of the node
 * @param dataCentre data centre of the VM
 * @param region region of the VM
 * @param service service of the backend server on this VM
 * @param entryAddress where callers on this VM send their requests
 * @param linkAddress where other nodes connect
 * @param heartbeat time between two heartbeats of a backend server
 * @param drain how long a leaving server takes work after its report was acknowledged
 * @param stopTime time between SIGTERM and SIGKILL
 * @param retryRatio retries of all nodes allowed for each request to a service
 * @param retryConstant retries of all nodes allowed in each window besides
 * @param retryWindow the window
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
        Duration retryWindow) {}
