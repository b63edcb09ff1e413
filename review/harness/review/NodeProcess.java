package review;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A platform node, started with the command of the deploy file. */
final class NodeProcess {
    final String name;
    final int entryPort;
    final int readyPort;
    final int controlPort;
    final int linkPort;
    private final Path settings;
    private final Path log;
    private Process process;
    private static int nextPort = 20_000 + (int) (ProcessHandle.current().pid() % 400) * 25;

    NodeProcess(Path folder, String name, String service, int storePort) throws IOException {
        this.name = name;
        int[] p = freePorts(5);
        entryPort = p[0];
        readyPort = p[1];
        controlPort = p[2];
        linkPort = p[3];
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        String json = """
                {"nodeId":"%s","dataCentre":"zone-a","region":"region-a","service":"%s",
                 "entry":"127.0.0.1:%d","readiness":"127.0.0.1:%d","heartbeats":"127.0.0.1:%d",
                 "metrics":"127.0.0.1:%d","linkPorts":[%d,%d],"heartbeat":"1500ms",
                 "bounds":{"drain":"2000ms","grace":"6s","retryBudgetRatio":"0.2",
                 "retryBudgetSlack":"48","budgetWindow":"10s"},
                 "store":{"address":"127.0.0.1:%d"}}
                """.formatted(name, service, p[0], p[1], p[2], p[4], p[3], p[3] + 15, storePort);
        Files.writeString(settings, json);
    }

    /**
     * Returns ports that are free now, from below the range from which the system takes ports for
     * outgoing connections.
     */
    private static int[] freePorts(int n) throws IOException {
        int[] ports = new int[n];
        int found = 0;
        while (found < n) {
            if (nextPort > 31_000) {
                throw new IOException("no free ports");
            }
            int port = nextPort++;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                ports[found++] = port;
            } catch (BindException e) {
                // In use, so the next one is tried.
            }
        }
        return ports;
    }

    private static List<String> command() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!m.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        return List.of(m.group(1).split(" "));
    }

    void start() throws IOException {
        ProcessBuilder b = new ProcessBuilder(command());
        b.environment().put("AZURESTAGE_SETTINGS", settings.toString());
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = b.start();
    }

    /** Waits until the readiness check answers 200. */
    boolean awaitReady(double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isReady() {
        try {
            return Http.send(readyPort, "GET", "/-/ready", "node", List.of(), new byte[0], 1000)
                    .status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean awaitEnd(double seconds) throws InterruptedException {
        return process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS);
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
