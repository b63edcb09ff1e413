package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Frame of a case: the store, the record and the nodes, and how it ends. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Kv store;
    Path temporary;
    final List<NodeProcess> nodes = new ArrayList<>();

    /** Plays the case and returns its exit code. */
    abstract int play() throws Exception;

    /** Returns a configuration with one route per service, at /SERVICE/. */
    static String config(int version, List<String> routes) {
        return "{\"version\":\"r" + version + "\",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[],\"limits\":{\"maxHeaderBytes\":16384,"
                + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\"}}";
    }

    static String route(String service, String type, int timeoutMillis) {
        return """
                {"name":"r-%s","host":"%s.example","prefix":"/%s/","routeType":"%s",\
                "timeout":"%dms","targetLatency":"1200ms","priority":0,"service":"%s",\
                "maxAttempts":2}""".formatted(service, service, service, type, timeoutMillis, service);
    }

    NodeProcess node(String name, String service) throws IOException {
        NodeProcess n = new NodeProcess(temporary, name, service, store.port());
        nodes.add(n);
        n.start();
        return n;
    }

    void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    static void run(Case c, String folder) {
        int code = CANNOT_RUN;
        try {
            c.record = new Record(Path.of("review", folder, "record.txt"));
            c.temporary = Files.createTempDirectory("azurestage-review");
            c.store = new Kv();
            c.record.add("trouble: %s", c.trouble);
            Runtime.getRuntime().addShutdownHook(
                    new Thread(() -> c.nodes.forEach(NodeProcess::kill)));
            code = c.play();
        } catch (Exception e) {
            e.printStackTrace();
            if (c.record != null) {
                c.record.add("the case cannot run: %s", e);
            }
        }
        c.nodes.forEach(NodeProcess::kill);
        String keep = System.getenv("KEEP");
        if (keep != null) {
            c.record.add("logs in %s", c.temporary);
        } else if (c.temporary != null) {
            for (NodeProcess n : c.nodes) {
                for (String suffix : List.of(".json", ".log")) {
                    c.temporary.resolve(n.name + suffix).toFile().delete();
                }
            }
            c.temporary.toFile().delete();
        }
        if (c.record != null) {
            c.record.add("exit code %d: %s", code,
                    code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held"
                            : "the case could not run");
        }
        Runtime.getRuntime().halt(code);
    }
}
