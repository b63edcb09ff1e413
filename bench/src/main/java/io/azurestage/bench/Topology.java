package io.azurestage.bench;

import io.azurestage.bench.standin.BackendSpec;
import io.azurestage.bench.standin.ServiceTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A sequential chain of services. The sizes are those of the table in section 1.3 of the design
 * page, unscaled. Service times are long so that the CPUs of one machine can run all servers: the
 * slowest service then handles a few hundred requests per second.
 */
record Topology(List<Service> services) {
    private static final int SERVERS = 4;
    private static final int SLOTS = 130;
    private static final int SLOTS_OF_SLOWEST = 13;
    private static final int CONNECTIONS = 900;
    private static final int CONNECTIONS_OF_SLOWEST = 180;
    private static final Duration TIME = Duration.ofMillis(10);
    private static final Duration TIME_OF_SLOWEST = Duration.ofMillis(160);
    private static final double SERVICE_TIME_SPREAD = 0.2;

    /** One service of the chain. */
    record Service(String name, int servers, int slots, Duration time, int connections) {
        /** Returns the requests per second that all servers of the service together can handle. */
        double capacity() {
            return servers * slots * 1e9 / time.toNanos();
        }

        /**
         * Returns the maximum number of queued requests on a server's connections when slots are
         * full.
         */
        int fullQueue() {
            return connections - slots;
        }
    }

    Topology {
        services = List.copyOf(services);
    }

    /**
     * Returns a chain whose last service is the slowest. If an upstream service were, it would hold
     * its slots while waiting for the next one, so its capacity would depend on the downstream
     * services.
     */
    static Topology chain(int depth) {
        if (depth < 1) {
            throw new IllegalArgumentException("depth must be at least 1, not " + depth);
        }
        int slowest = depth - 1;
        List<Service> services = new ArrayList<>();
        for (int i = 0; i < depth; i++) {
            boolean slow = i == slowest;
            services.add(
                    new Service(
                            slow ? "stable-return-keeper" : "service-" + i,
                            SERVERS,
                            slow ? SLOTS_OF_SLOWEST : SLOTS,
                            slow ? TIME_OF_SLOWEST : TIME,
                            slow ? CONNECTIONS_OF_SLOWEST : CONNECTIONS));
        }
        return new Topology(services);
    }

    List<String> names() {
        return services.stream().map(Service::name).toList();
    }

    Service slowest() {
        return services.stream().min(Comparator.comparingDouble(Service::capacity)).orElseThrow();
    }

    /** Returns the specification of one backend server of a service, both given by index. */
    BackendSpec spec(int service, int server, int queue, long seed) {
        Service s = services.get(service);
        List<String> next =
                service + 1 < services.size()
                        ? List.of(services.get(service + 1).name())
                        : List.of();
        ServiceTime time = ServiceTime.uniform(s.time(), SERVICE_TIME_SPREAD);
        return new BackendSpec(
                s.name(), s.slots(), queue, time, next, seed + 1000L * service + server);
    }
}
